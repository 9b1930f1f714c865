//! The engine's calls beside completions: cache, orders, cancelling.

use briartray_web::{JsonReply, read_body, reply_json, reply_text};
use serde_json::json;
use tiny_http::Request;

use super::api::{MAX_BODY, refuse};
use super::core::EngineShared;
use super::orders::EngineOrder;

/// The number under `name` in the query.
pub(super) fn query_number(request: &Request, name: &str) -> Option<u64> {
    let (_, query) = request.url().split_once('?')?;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok())
}

/// Cache events after a cursor.
pub(super) fn cache_events(request: Request, shared: &EngineShared) {
    let cursor = query_number(&request, "after").unwrap_or(0);
    let events = shared.cache().events_after(shared.now(), cursor);
    let next = events.last().map_or(cursor, |event| event.sequence);
    reply_json(request, &JsonReply::new(200, json!({ "events": events, "next": next })));
}

/// Cancels a request.
pub(super) fn cancel(request: Request, shared: &EngineShared, id: &str) {
    let Some(track) = shared.find(id) else {
        return refuse(request, 404, "the request is not known here");
    };
    shared.cancel(track.number);
    let state = track.wait_end(shared.settings.step * 4);
    let body = json!({ "id": id, "made": state.made, "end": state.end });
    reply_json(request, &JsonReply::new(200, body));
}

/// Sends the blob of a cached prefix.
pub(super) fn export_blob(request: Request, shared: &EngineShared, prefix: &str) {
    let hash = u64::from_str_radix(prefix, 16).ok();
    match hash.and_then(|hash| shared.cache().export_blob(hash)) {
        Some(blob) => reply_text(request, 200, "application/octet-stream", blob),
        None => refuse(request, 404, "the prefix is not cached here"),
    }
}

/// Stores the blob of a prefix.
pub(super) fn import_blob(mut request: Request, shared: &EngineShared, prefix: &str) {
    let body = match read_body(&mut request, MAX_BODY) {
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

/// Lists the orders taken.
pub(super) fn list_orders(request: Request, shared: &EngineShared) {
    let orders = shared.orders().taken().to_vec();
    reply_json(request, &JsonReply::new(200, json!({ "orders": orders })));
}

/// Takes one order and carries it out before it answers.
pub(super) fn take_order(mut request: Request, shared: &EngineShared) {
    let order: EngineOrder = match read_order(&mut request) {
        Ok(order) => order,
        Err(detail) => return refuse(request, 400, &detail),
    };
    let taken = shared.orders().take(&order);
    let position = match taken {
        Ok(position) => position,
        Err(highest) => {
            let body = json!({ "error": { "message": "old fencing number", "highest": highest } });
            return reply_json(request, &JsonReply::new(409, body));
        }
    };
    let loaded = load(shared, &order);
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
    let body = read_body(request, MAX_BODY).map_err(|error| error.to_string())?;
    serde_json::from_slice(&body).map_err(|error| error.to_string())
}

/// Takes the load time, and reads the weights where there is a store.
fn load(shared: &EngineShared, order: &EngineOrder) -> Result<usize, String> {
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
