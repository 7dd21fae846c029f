//! The JSON of the key-value store.

use gladekeel_wire::store::{WatchEvent, WatchResponse, Write};
use serde_json::Value;

#[test]
fn events_and_writes_round_trip() {
    let text = r#"{"logline":433,"news":[{"write":"c/9","value":{"a":1},"entry":433},{"remove":"c/d","entry":432}]}"#;
    let events: WatchResponse = serde_json::from_str(text).unwrap();
    assert!(matches!(&events.events[1], WatchEvent::Delete { key, version: 432 } if key == "c/d"));
    assert_eq!(serde_json::to_string(&events).unwrap(), text);
    let put = Write::Put { key: "a".into(), value: Value::Null, lease: None };
    assert_eq!(serde_json::to_string(&put).unwrap(), r#"{"write":"a","value":null}"#);
}
