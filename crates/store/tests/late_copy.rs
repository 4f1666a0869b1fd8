//! Guards against a response that belongs to an earlier call: a server that sends a second copy of a response, late, on
//! a connection that is in use again, or answers after the client has given up. A list of another kind, taken for the
//! list of upstreams, would remove them all.

use {
    reqwest::Method,
    skylarkflow_store::http::Http,
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        runtime::Runtime,
        time,
    },
};

/// Timeout of a call of the client.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Path whose response the server sends only after the client has given up.
const SLOW_PATH: &str = "/slow";

fn response(path: &str) -> String {
    let length = path.len();
    format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{path}")
}

/// Answers each request with its path, and sends a second copy of the response before when the connection is used again.
async fn serve(mut connection: TcpStream, requests: Arc<AtomicUsize>) -> std::io::Result<()> {
    let mut buffer = [0; 4_096];
    let mut previous: Option<String> = None;
    loop {
        let length = connection.read(&mut buffer).await?;
        if length == 0 {
            return Ok(());
        }
        requests.fetch_add(1, Ordering::Relaxed);
        let request = String::from_utf8_lossy(&buffer[..length]).into_owned();
        let path = request.split(' ').nth(1).unwrap_or_default().to_owned();
        if let Some(copy) = &previous {
            connection.write_all(response(copy).as_bytes()).await?;
        }
        if path == SLOW_PATH {
            time::sleep(2 * CALL_TIMEOUT).await;
        }
        connection.write_all(response(&path).as_bytes()).await?;
        previous = Some(path);
    }
}

async fn start_server(requests: &Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let requests = Arc::clone(requests);
    tokio::spawn(async move {
        while let Ok((connection, _)) = listener.accept().await {
            tokio::spawn(serve(connection, Arc::clone(&requests)));
        }
    });
    address
}

async fn get(http: &Http, path: &str) -> Option<String> {
    let request = http.request(Method::GET, path);
    let response = http.send(request, Duration::ZERO).await.ok()?;
    response.text().await.ok()
}

#[test]
fn every_response_belongs_to_its_call() {
    Runtime::new().expect("a runtime").block_on(async {
        let requests = Arc::default();
        let address = start_server(&requests).await;
        let http = Http::new(&format!("http://{address}"), CALL_TIMEOUT).expect("a client");
        for path in ["/servers", "/config", SLOW_PATH, "/config", "/servers"] {
            let answer = get(&http, path).await;
            let expected = (path != SLOW_PATH).then(|| path.to_owned());
            assert_eq!(answer, expected, "{path}");
        }
        assert_eq!(requests.load(Ordering::Relaxed), 5);
    });
}
