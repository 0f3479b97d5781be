//! Text form and order of endpoint ids.

use bramblewheel_types::{EndpointId, InvalidEndpointId};

fn id(name: &str, started: Option<u64>) -> EndpointId {
    EndpointId::new(name)
        .expect("a valid name")
        .started_at(started)
}

#[test]
fn an_id_written_as_text_parses_to_the_same_id() {
    for started in [None, Some(0), Some(9), Some(10), Some(u64::MAX)] {
        let id = id("kassa-1", started);
        assert_eq!(id.to_string().parse(), Ok(id.clone()));
        assert_eq!(EndpointId::try_from(String::from(id.clone())), Ok(id));
    }
    assert_eq!(id("kassa-1", None).to_string(), "kassa-1");
    assert_eq!(id("kassa-1", Some(12)).to_string(), "kassa-1@12");
}

#[test]
fn an_invalid_start_or_name_is_refused() {
    for text in [
        "kassa@",
        "kassa@x",
        "kassa@-1",
        "kassa@+1",
        "kassa@1@2",
        "kassa@99999999999999999999",
    ] {
        assert_eq!(
            text.parse::<EndpointId>(),
            Err(InvalidEndpointId::Start),
            "{text}"
        );
    }
    for text in ["", "@1", "Kassa@1"] {
        let parsed = text.parse::<EndpointId>();
        assert!(matches!(parsed, Err(InvalidEndpointId::Name(_))), "{text}");
    }
}

#[test]
fn ids_of_one_name_are_ordered_by_start_time_not_by_text() {
    let (first, second) = (id("e", Some(9)), id("e", Some(10)));
    assert!(first < second);
    assert!(id("e", None) < first);
    assert!(first.is_earlier_start_of(&second));
    assert!(!second.is_earlier_start_of(&first));
    assert!(!id("d", Some(1)).is_earlier_start_of(&second));
}
