//! Management calls of the engine: cache events and blobs, orders, cancellation.

use briartray_web::{JsonReply, read_body, reply_json, reply_text};
use serde_json::json;
use tiny_http::Request;

use super::api::{MAX_BODY_BYTES, refuse};
use super::core::EngineShared;
use super::orders::EngineOrder;

/// Returns the numeric query parameter `name`.
pub(super) fn query_number(request: &Request, name: &str) -> Option<u64> {
    let (_, query) = request.url().split_once('?')?;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok())
}

/// Replies with the cache events after the cursor in the query.
pub(super) fn cache_events(request: Request, shared: &EngineShared) {
    let cursor = query_number(&request, "after").unwrap_or(0);
    let events = shared.cache().events_after(shared.now(), cursor);
    let next = events.last().map_or(cursor, |event| event.sequence);
    reply_json(request, &JsonReply::new(200, json!({ "events": events, "next": next })));
}

/// Cancels a request and waits briefly for its end.
pub(super) fn cancel(request: Request, shared: &EngineShared, id: &str) {
    let Some(tracked) = shared.find(id) else {
        return refuse(request, 404, "the request is not known here");
    };
    shared.cancel(tracked.number);
    let state = tracked.wait_end(shared.settings.step * 4);
    let body = json!({ "id": id, "made": state.generated, "end": state.end });
    reply_json(request, &JsonReply::new(200, body));
}

/// Replies with the blob of a cached prefix.
pub(super) fn export_blob(request: Request, shared: &EngineShared, prefix: &str) {
    let hash = u64::from_str_radix(prefix, 16).ok();
    match hash.and_then(|hash| shared.cache().export_blob(hash)) {
        Some(blob) => reply_text(request, 200, "application/octet-stream", blob),
        None => refuse(request, 404, "the prefix is not cached here"),
    }
}

/// Validates the blob of a prefix and adds the prefix to the cache.
pub(super) fn import_blob(mut request: Request, shared: &EngineShared, prefix: &str) {
    let body = match read_body(&mut request, MAX_BODY_BYTES) {
        Ok(body) => body,
        Err(error) => return refuse(request, 400, &error.to_string()),
    };
    let Ok(hash) = u64::from_str_radix(prefix, 16) else {
        return refuse(request, 400, "a prefix is 16 hexadecimal digits");
    };
    if !shared.cache().import_blob(shared.now(), hash, &body) {
        return refuse(request, 422, "the blob is damaged or belongs to another prefix");
    }
    reply_json(request, &JsonReply::new(200, json!({ "stored": prefix })));
}

/// Replies with all accepted orders.
pub(super) fn list_orders(request: Request, shared: &EngineShared) {
    let orders = shared.orders().accepted().to_vec();
    reply_json(request, &JsonReply::new(200, json!({ "orders": orders })));
}

/// Applies an order and replies after it has completed.
pub(super) fn apply_order(mut request: Request, shared: &EngineShared) {
    let order: EngineOrder = match read_order(&mut request) {
        Ok(order) => order,
        Err(detail) => return refuse(request, 400, &detail),
    };
    let accepted = shared.orders().accept(&order);
    let position = match accepted {
        Ok(position) => position,
        Err(highest) => {
            let body = json!({ "error": { "message": "old fencing number", "highest": highest } });
            return reply_json(request, &JsonReply::new(409, body));
        }
    };
    let loaded = load_weights(shared, &order);
    shared.orders().finish(position, shared.now());
    match loaded {
        Ok(bytes) => {
            let body = json!({ "position": position, "bytes": bytes });
            reply_json(request, &JsonReply::new(200, body));
        }
        Err(detail) => refuse(request, 502, &detail),
    }
}

fn read_order(request: &mut Request) -> Result<EngineOrder, String> {
    let body = read_body(request, MAX_BODY_BYTES).map_err(|error| error.to_string())?;
    serde_json::from_slice(&body).map_err(|error| error.to_string())
}

/// Simulates a load: downloads from the weight store, if set, then sleeps for the load time.
fn load_weights(shared: &EngineShared, order: &EngineOrder) -> Result<usize, String> {
    let settings = &shared.settings;
    let bytes = match settings.weights {
        Some(store) => attohttpc::get(format!("http://{store}/weights/{}", order.name))
            .send()
            .and_then(attohttpc::Response::bytes)
            .map_err(|error| format!("weights cannot be read: {error}"))?
            .len(),
        None => 0,
    };
    std::thread::sleep(settings.load_time);
    Ok(bytes)
}
