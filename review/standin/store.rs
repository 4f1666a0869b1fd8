//! Stand-in of the platform's metadata store: objects by kind and name, lists, watches, and reads of a lagging copy.
//!
//! Bodies of objects are kept as the text that their writer sent, so that the store changes nothing in them.

use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddrV4, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Time that the store takes for an answer (site file: 4 ms).
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Objects on one page of a list ("about 500").
const PAGE: usize = 500;
/// Bytes on one page of a list ("or 1 MB at most"); a larger object has a page of its own.
const PAGE_BYTES: usize = 1_048_576;

#[derive(Clone)]
struct Change {
    at: Instant,
    revision: u64,
    kind: String,
    name: String,
    /// Text of `spec`; `None` for a removal.
    spec: Option<String>,
}

struct Contents {
    revision: u64,
    changes: Vec<Change>,
    /// Current `spec` texts, with the heartbeat counters that make no change of their own.
    current: BTreeMap<(String, String), (u64, String)>,
}

pub struct Store {
    pub address: SocketAddrV4,
    contents: Mutex<Contents>,
    changed: Condvar,
    /// Age of what reads with `Serializable` return, for each copy; each read goes to one of them at random.
    lags: Mutex<Vec<Duration>>,
}

impl Store {
    pub fn start(address: SocketAddrV4) -> Arc<Store> {
        let listener = TcpListener::bind(address).expect("the store's address is free");
        let store = Arc::new(Store {
            address,
            contents: Mutex::new(Contents { revision: 100, changes: Vec::new(), current: BTreeMap::new() }),
            changed: Condvar::new(),
            lags: Mutex::new(vec![Duration::ZERO]),
        });
        let server = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&server);
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    pub fn set_lags(&self, lags: &[Duration]) {
        *self.lags.lock().unwrap() = lags.to_vec();
    }

    /// Returns the age of what one read returns.
    fn draw_lag(&self, serializable: bool) -> Duration {
        let lags = self.lags.lock().unwrap();
        if serializable { lags[crate::random() as usize % lags.len()] } else { Duration::ZERO }
    }

    /// Creates or replaces an object and returns the time of the acknowledgement.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> Instant {
        self.write(kind, name, Some(spec.to_owned()));
        Instant::now()
    }

    /// Writes a heartbeat, which changes nothing but the counter in the entry and makes no event.
    pub fn beat(&self, kind: &str, name: &str, spec: &str) {
        let mut contents = self.contents.lock().unwrap();
        if let Some((_, text)) = contents.current.get_mut(&(kind.to_owned(), name.to_owned())) {
            *text = spec.to_owned();
        }
    }

    pub fn delete(&self, kind: &str, name: &str) {
        self.write(kind, name, None);
    }

    fn write(&self, kind: &str, name: &str, spec: Option<String>) -> u64 {
        let mut contents = self.contents.lock().unwrap();
        contents.revision += 1;
        let revision = contents.revision;
        let key = (kind.to_owned(), name.to_owned());
        match &spec {
            Some(spec) => drop(contents.current.insert(key, (revision, spec.clone()))),
            None => drop(contents.current.remove(&key)),
        }
        let (kind, name) = (kind.to_owned(), name.to_owned());
        contents.changes.push(Change { at: Instant::now(), revision, kind, name, spec });
        self.changed.notify_all();
        revision
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
            let mut words = line.split_whitespace();
            let (method, target) = (words.next().unwrap_or("").to_owned(), words.next().unwrap_or("").to_owned());
            let mut length = 0;
            loop {
                let mut header = String::new();
                if reader.read_line(&mut header).unwrap_or(0) == 0 {
                    return;
                }
                if header.trim().is_empty() {
                    break;
                }
                if let Some(value) = header.to_ascii_lowercase().strip_prefix("content-length:") {
                    length = value.trim().parse().unwrap_or(0);
                }
            }
            let mut body = vec![0; length];
            if reader.read_exact(&mut body).is_err() {
                return;
            }
            thread::sleep(ANSWER_TIME);
            let (status, text) = self.answer(&method, &target, &String::from_utf8_lossy(&body));
            let head = format!(
                "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                text.len()
            );
            if writer.write_all(head.as_bytes()).and_then(|()| writer.write_all(text.as_bytes())).is_err() {
                return;
            }
        }
    }

    fn answer(&self, method: &str, target: &str, body: &str) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let Some(rest) = path.strip_prefix("/api/objects/") else { return (404, "{}".into()) };
        let (kind, name) = rest.split_once('/').map_or((rest, None), |(kind, name)| (kind, Some(name)));
        let parameter = |key: &str| query.split('&').filter_map(|pair| pair.split_once('=')).find(|(k, _)| *k == key);
        let parameter = |key: &str| parameter(key).map(|(_, value)| value);
        match (method, name) {
            ("GET", None) => {
                let lag = self.draw_lag(parameter("Serializable") == Some("1"));
                match parameter("Watch").and_then(|watch| watch.parse().ok()) {
                    Some(after) => {
                        let wait = parameter("WaitMs").and_then(|wait| wait.parse().ok()).unwrap_or(0);
                        (200, self.watch(kind, after, Duration::from_millis(wait), lag))
                    }
                    None => (200, self.list(kind, parameter("after").unwrap_or(""), lag)),
                }
            }
            ("GET", Some(name)) => match self.contents.lock().unwrap().current.get(&key(kind, name)) {
                Some((revision, spec)) => (200, object(name, *revision, spec)),
                None => (404, "{}".into()),
            },
            ("POST", None) => {
                let name = field(body, "meta").and_then(|meta| field(meta, "Name")).unwrap_or("").trim_matches('"');
                if self.contents.lock().unwrap().current.contains_key(&key(kind, name)) {
                    return (409, "{}".into());
                }
                self.store_body(kind, name, body)
            }
            ("PUT", Some(name)) => {
                if !self.contents.lock().unwrap().current.contains_key(&key(kind, name)) {
                    return (404, "{}".into());
                }
                self.store_body(kind, name, body)
            }
            ("DELETE", Some(name)) => {
                self.delete(kind, name);
                (200, "{}".into())
            }
            _ => (405, "{}".into()),
        }
    }

    fn store_body(&self, kind: &str, name: &str, body: &str) -> (u16, String) {
        let spec = field(body, "spec").unwrap_or("{}").to_owned();
        let revision = self.write(kind, name, Some(spec.clone()));
        (200, object(name, revision, &spec))
    }

    /// Returns the revision of the newest change that a read may see.
    fn visible(&self, contents: &Contents, lag: Duration) -> u64 {
        if lag.is_zero() {
            return contents.revision;
        }
        let old = contents.changes.iter().rev().find(|change| change.at.elapsed() >= lag);
        old.map_or(100, |change| change.revision)
    }

    fn list(&self, kind: &str, after: &str, lag: Duration) -> String {
        let contents = self.contents.lock().unwrap();
        let visible = self.visible(&contents, lag);
        let mut objects: BTreeMap<&str, (u64, &str)> = BTreeMap::new();
        for change in contents.changes.iter().filter(|change| change.kind == kind && change.revision <= visible) {
            match &change.spec {
                Some(spec) => drop(objects.insert(&change.name, (change.revision, spec))),
                None => drop(objects.remove(&*change.name)),
            }
        }
        let mut rest = objects.iter().filter(|(name, _)| **name > after);
        let mut page: Vec<String> = Vec::new();
        let mut bytes = 0;
        let mut more = false;
        for (name, (revision, spec)) in rest.by_ref() {
            let text = object(name, *revision, spec);
            if page.len() == PAGE || (!page.is_empty() && bytes + text.len() > PAGE_BYTES) {
                more = true;
                break;
            }
            bytes += text.len();
            page.push(text);
        }
        format!("{{\"items\":[{}],\"More\":{more},\"AsOf\":{visible}}}", page.join(","))
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration, lag: Duration) -> String {
        let deadline = Instant::now() + wait;
        let mut contents = self.contents.lock().unwrap();
        loop {
            let visible = self.visible(&contents, lag);
            let news = contents
                .changes
                .iter()
                .filter(|change| change.kind == kind && change.revision > after && change.revision <= visible);
            let events: Vec<String> = news
                .map(|change| {
                    let spec = change.spec.as_deref().unwrap_or("{}");
                    let object = object(&change.name, change.revision, spec);
                    format!("{{\"Object\":{object},\"Deleted\":{}}}", change.spec.is_none())
                })
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let as_of = visible.max(after);
                return format!("{{\"events\":[{}],\"AsOf\":{as_of}}}", events.join(","));
            }
            let step = if lag.is_zero() { left } else { left.min(Duration::from_millis(20)) };
            contents = self.changed.wait_timeout(contents, step).unwrap().0;
        }
    }
}

fn key(kind: &str, name: &str) -> (String, String) {
    (kind.to_owned(), name.to_owned())
}

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!(
        "{{\"meta\":{{\"Name\":\"{name}\",\"Revision\":{revision},\"Created\":1,\"Finalizers\":[],\"Deleting\":false}},\
         \"spec\":{spec},\"status\":null}}"
    )
}

/// Returns the text of a field of a JSON object.
fn field<'a>(json: &'a str, name: &str) -> Option<&'a str> {
    let bytes = json.as_bytes();
    let (mut depth, mut at, mut start) = (0, 0, None);
    let mut current = String::new();
    while at < bytes.len() {
        match bytes[at] {
            b'"' => {
                let begin = at + 1;
                at += 1;
                while bytes[at] != b'"' {
                    at += if bytes[at] == b'\\' { 2 } else { 1 };
                }
                if depth == 1 && start.is_none() {
                    current = json[begin..at].to_owned();
                }
            }
            b':' if depth == 1 && start.is_none() => start = Some(at + 1),
            b'{' | b'[' => depth += 1,
            byte @ (b'}' | b']' | b',') => {
                if byte != b',' {
                    depth -= 1;
                }
                let ends = (byte == b',' && depth == 1) || depth == 0;
                if ends && let Some(begin) = start.take() {
                    if current == name {
                        return Some(json[begin..at].trim());
                    }
                }
            }
            _ => {}
        }
        at += 1;
    }
    None
}
