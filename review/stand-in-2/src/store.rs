//! The platform's metadata store: objects, lists, watches, conditional writes. Calls with `Serializable` = 1 are served
//! from a copy that is behind by a fixed time.

use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Objects in a page, as many as the bench has.
const PAGE: usize = 50;

struct Change {
    revision: u64,
    at: Instant,
    kind: String,
    name: String,
    /// Text of the content; `None` if the object was removed.
    spec: Option<String>,
}

struct Contents {
    changes: Vec<Change>,
    revision: u64,
}

pub struct Store {
    contents: Mutex<Contents>,
    changed: Condvar,
    /// Age of the copy.
    lag: Duration,
}

type Objects<'a> = BTreeMap<&'a str, &'a Change>;

impl Contents {
    /// Returns the revision that the current store, or the copy, has.
    fn view(&self, is_copy: bool, lag: Duration) -> u64 {
        if !is_copy {
            return self.revision;
        }
        let now = Instant::now();
        let seen = self.changes.iter().filter(|change| now >= change.at + lag);
        seen.map(|change| change.revision).max().unwrap_or(1)
    }

    fn objects(&self, kind: &str, view: u64) -> Objects<'_> {
        let mut objects = Objects::new();
        for change in &self.changes {
            if change.kind == kind && change.revision <= view {
                if change.spec.is_some() {
                    objects.insert(&change.name, change);
                } else {
                    objects.remove(change.name.as_str());
                }
            }
        }
        objects
    }

    fn find(&self, kind: &str, name: &str) -> Option<&Change> {
        self.objects(kind, self.revision).get(name).copied()
    }

    fn text(change: &Change, spec: &str) -> String {
        format!(
            r#"{{"meta":{{"Name":"{}","Revision":{},"Created":1,"Finalizers":[],"Deleting":false}},"spec":{spec},"status":null}}"#,
            change.name, change.revision
        )
    }
}

impl Store {
    pub fn start(address: SocketAddr, lag: Duration) -> Arc<Store> {
        let listener = TcpListener::bind(address).expect("an address for the store");
        let store = Arc::new(Store {
            contents: Mutex::new(Contents {
                changes: Vec::new(),
                revision: 1,
            }),
            changed: Condvar::new(),
            lag,
        });
        let served = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&served);
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an object, as the operator and endpoints do; returns the time of the acknowledgement.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> Instant {
        self.write(kind, name, Some(spec.to_owned()));
        Instant::now()
    }

    fn write(&self, kind: &str, name: &str, spec: Option<String>) {
        let mut contents = self.contents.lock().unwrap();
        let current = contents.find(kind, name).map(|change| change.spec.clone());
        if current.is_none() && spec.is_none() || current == Some(spec.clone()) {
            return;
        }
        contents.revision += 1;
        let change = Change {
            revision: contents.revision,
            at: Instant::now(),
            kind: kind.to_owned(),
            name: name.to_owned(),
            spec,
        };
        contents.changes.push(change);
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some((method, target, body)) = read_request(&mut reader) {
            let (status, text) = self.respond(&method, &target, &body);
            let head = format!(
                "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                text.len()
            );
            if writer.write_all((head + &text).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn respond(&self, method: &str, target: &str, body: &str) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
        };
        let mut parts = path.trim_start_matches("/api/objects/").split('/');
        let kind = parts.next().unwrap_or_default();
        let name = parts.next();
        let is_copy = parameter("Serializable") == Some("1");
        match (method, name) {
            ("GET", None) => match parameter("Watch").and_then(|text| text.parse().ok()) {
                Some(after) => {
                    let wait = parameter("WaitMs").and_then(|text| text.parse().ok());
                    let wait = Duration::from_millis(wait.unwrap_or(0).min(30_000));
                    (200, self.watch(kind, after, wait, is_copy))
                }
                None => (200, self.list(kind, parameter("after"), is_copy)),
            },
            ("GET", Some(name)) => {
                let contents = self.contents.lock().unwrap();
                match contents.find(kind, name) {
                    Some(change) => {
                        let spec = change.spec.as_deref().unwrap_or("null");
                        (200, Contents::text(change, spec))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            ("POST", None) => {
                let name = text_member(body, "Name").unwrap_or_default();
                if self.exists(kind, &name) {
                    return (409, "{}".to_owned());
                }
                self.write(kind, &name, member(body, "spec"));
                (200, "{}".to_owned())
            }
            ("PUT", Some(name)) => {
                if !self.exists(kind, name) {
                    return (404, "{}".to_owned());
                }
                self.write(kind, name, member(body, "spec"));
                (200, "{}".to_owned())
            }
            ("DELETE", Some(name)) => {
                self.write(kind, name, None);
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn exists(&self, kind: &str, name: &str) -> bool {
        self.contents.lock().unwrap().find(kind, name).is_some()
    }

    fn list(&self, kind: &str, after: Option<&str>, is_copy: bool) -> String {
        let contents = self.contents.lock().unwrap();
        let view = contents.view(is_copy, self.lag);
        let objects = contents.objects(kind, view);
        let rest = objects.iter();
        let mut rest = rest.filter(|(name, _)| after.is_none_or(|after| **name > after));
        let items: Vec<String> = rest
            .by_ref()
            .take(PAGE)
            .map(|(_, change)| Contents::text(change, change.spec.as_deref().unwrap_or("null")))
            .collect();
        let has_more = rest.next().is_some();
        let items = items.join(",");
        format!(r#"{{"items":[{items}],"More":{has_more},"AsOf":{view}}}"#)
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration, is_copy: bool) -> String {
        let deadline = Instant::now() + wait;
        let mut contents = self.contents.lock().unwrap();
        loop {
            let view = contents.view(is_copy, self.lag);
            let new = contents.changes.iter().filter(|change| {
                change.kind == kind && change.revision > after && change.revision <= view
            });
            let events: Vec<String> = new
                .map(|change| {
                    let removed = change.spec.is_none();
                    let spec = change.spec.as_deref().unwrap_or("null");
                    let object = Contents::text(change, spec);
                    format!(r#"{{"Deleted":{removed},"Object":{object}}}"#)
                })
                .collect();
            if !events.is_empty() || Instant::now() >= deadline {
                let events = events.join(",");
                return format!(r#"{{"events":[{events}],"AsOf":{view}}}"#);
            }
            let step = Duration::from_millis(20).min(deadline - Instant::now().min(deadline));
            contents = self.changed.wait_timeout(contents, step).unwrap().0;
        }
    }
}

/// Reads a request: method, target and body.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<(String, String, String)> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
    let mut words = line.split_whitespace();
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
        let line = line.trim();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':')
            && name.eq_ignore_ascii_case("content-length")
        {
            length = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((method, target, String::from_utf8(body).ok()?))
}

/// Returns the text of a member whose value is an object.
fn member(body: &str, name: &str) -> Option<String> {
    let start = body.find(&format!("\"{name}\":"))? + name.len() + 3;
    let text = &body[start..];
    let mut depth = 0;
    for (at, byte) in text.bytes().enumerate() {
        match byte {
            b'{' => depth += 1,
            b'}' => {
                depth -= 1;
                if depth == 0 {
                    return Some(text[..=at].to_owned());
                }
            }
            _ => {}
        }
    }
    None
}

/// Returns the value of a member that is a text.
fn text_member(body: &str, name: &str) -> Option<String> {
    let start = body.find(&format!("\"{name}\":\""))? + name.len() + 4;
    let end = body[start..].find('"')? + start;
    Some(body[start..end].to_owned())
}
