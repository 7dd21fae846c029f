//! JSON of the key-value store's protocol.

use gladekeel_wire::store::{WatchEvent, WatchResponse, Write};
use serde_json::Value;

/// Guards against field names that differ from those of the protocol, and against confusing puts
/// with deletions, which differ only in the names of their fields.
#[test]
fn watch_events_and_writes_have_the_json_names_of_the_protocol() {
    let text = r#"{"logline":433,"news":[{"write":"c/9","value":{"a":1},"entry":433},{"remove":"c/d","entry":432}]}"#;
    let response: WatchResponse = serde_json::from_str(text).unwrap();
    assert!(
        matches!(&response.events[1], WatchEvent::Delete { key, version: 432 } if key == "c/d")
    );
    assert_eq!(serde_json::to_string(&response).unwrap(), text);
    let put = Write::Put { key: "a".into(), value: Value::Null, lease: None };
    assert_eq!(serde_json::to_string(&put).unwrap(), r#"{"write":"a","value":null}"#);
}
