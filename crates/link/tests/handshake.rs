//! Which processes may open a stream, and that invalid data does not affect other connections.

use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::time::Duration;

use assert_matches::assert_matches;
use briartray_link::{
    CallKind, ClientSettings, LinkClient, LinkError, LinkServer, LinkStream, PROTOCOL_VERSION,
};
use http::{Request, StatusCode};

/// Long enough that a busy machine does not fail the tests.
const WAIT: Duration = Duration::from_secs(30);

const TOKEN: &str = "the deployment's secret";

/// A server that answers each number with the next one.
fn counting_server() -> LinkServer {
    let handler = |stream: LinkStream| {
        std::thread::spawn(move || {
            while let Ok(number) = stream.reader.receive::<u64>(WAIT) {
                if stream.writer.send(&(number + 1)).is_err() {
                    return;
                }
            }
        });
    };
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    LinkServer::start(address, TOKEN, Box::new(handler)).expect("the server starts")
}

fn client(token: &str) -> LinkClient {
    let settings = ClientSettings { token: token.to_owned(), connect_timeout: WAIT };
    LinkClient::start("test-link", settings).expect("the client starts")
}

/// Sends one number and returns the answer.
fn request_successor(client: &LinkClient, address: SocketAddr) -> Result<u64, LinkError> {
    let (writer, reader) = client.open(address, CallKind::Dispatch);
    let _ = writer.send(&41_u64);
    reader.receive(WAIT)
}

/// Opens a stream with `headers` and returns the status of the answer.
fn raw_status(address: SocketAddr, path: &str, headers: &[(&str, &str)]) -> StatusCode {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime starts");
    runtime.block_on(async {
        let socket = tokio::net::TcpStream::connect(address).await.expect("the server listens");
        let (sender, connection) =
            h2::client::handshake(socket).await.expect("the h2 handshake succeeds");
        tokio::spawn(connection);
        let mut request = Request::builder().method("POST").uri(format!("http://{address}{path}"));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(()).expect("the request is valid");
        let mut sender = sender.ready().await.expect("the connection is open");
        let (response, _body) = sender.send_request(request, true).expect("the request is sent");
        response.await.expect("the server answers").status()
    })
}

#[test]
fn peer_with_the_token_is_served() {
    let server = counting_server();

    let answer = request_successor(&client(TOKEN), server.address());

    assert_matches!(answer, Ok(42));
}

#[test]
fn wrong_token_is_refused_before_any_message() {
    // A process of another deployment, or an attacker on the network, opens a stream. It receives
    // only the remedy, and its messages are never decoded.
    let server = counting_server();

    let answer = request_successor(&client("another secret"), server.address());

    assert_matches!(answer, Err(LinkError::Handshake { status: 401, remedy, .. })
        if remedy.contains("cluster.token"));
}

#[test]
fn peer_of_another_version_is_refused() {
    // During an upgrade, a process of another version connects. Its messages could decode to
    // wrong values, so none is accepted.
    let server = counting_server();

    let headers = [("x-briartray-token", TOKEN), ("x-briartray-version", "0")];
    let status = raw_status(server.address(), "/dispatch", &headers);

    assert_eq!(status, StatusCode::UPGRADE_REQUIRED);
}

#[test]
fn unknown_kind_of_call_is_refused() {
    let server = counting_server();

    let headers = [("x-briartray-token", TOKEN), ("x-briartray-version", PROTOCOL_VERSION)];
    let status = raw_status(server.address(), "/no-such-call", &headers);

    assert_eq!(status, StatusCode::NOT_FOUND);
}

#[test]
fn non_h2_connection_leaves_other_peers_unaffected() {
    // Another program sends arbitrary bytes to the link port. Connected peers must still be served.
    let server = counting_server();
    let peer = client(TOKEN);
    let before = request_successor(&peer, server.address());

    for length in [1_usize, 24, 4096, 100_000] {
        let mut garbage = TcpStream::connect(server.address()).expect("the server listens");
        let bytes: Vec<u8> = (0..length).map(|at| (at * 31 % 251) as u8).collect();
        let _ = garbage.write_all(&bytes);
    }
    let after = request_successor(&peer, server.address());

    assert_matches!((before, after), (Ok(42), Ok(42)));
}

#[test]
fn connect_failure_reports_nothing_sent() {
    // Nothing listens at the address. The error shows that nothing was sent, so a retry is safe.
    let free = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port is free");
    let unused = free.local_addr().expect("it has an address");
    drop(free);

    let answer = request_successor(&client(TOKEN), unused);

    assert!(answer.expect_err("nobody answers").nothing_sent());
}
