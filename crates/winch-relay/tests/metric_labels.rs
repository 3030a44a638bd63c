//! Names from outside in the labels of metrics.

use winch_relay::{counter, exposition};

// Guards against a name of a service that ends its label, or its line.
#[test]
fn odd_labels_escaped() {
    let handle = exposition::install_recorder().expect("the first one");
    let names = ["a b", "a\"b", "a\\b", "a\nb", "a\r\nb 1", "a\u{1}b", "a{x=\"y\"} 7", "\u{e9}"];
    for name in names {
        counter::speed_estimates(&name.into(), 3, 1.5);
        counter::page_read(name);
    }
    let text = handle.render();
    let lines = text.split('\n').filter(|line| !line.is_empty() && !line.starts_with('#'));
    let mut count = 0;
    for line in lines {
        count += 1;
        let (head, value) = line.rsplit_once(' ').expect("a value");
        assert!(value.parse::<f64>().is_ok(), "{line:?}");
        let (_, labels) = head.split_once('{').expect("a label");
        let (_, label) = labels.split_once("=\"").expect("a label");
        let label = label.strip_suffix("\"}").expect("its end");
        assert!(!label.replace("\\\\", "").replace("\\\"", "").contains('"'), "{line:?}");
    }
    assert_eq!(count, 3 * names.len(), "{text}");
}
