//! Desired state from the tables, and its difference from the observed state.

use primrose_core::table::Table;
use primrose_order::desired;
use primrose_order::Desired;
use primrose_order::Difference;
use primrose_order::Observed;
use primrose_order::Order;
use primrose_support::tables::engine_pool;
use primrose_support::tables::model_route;
use primrose_support::tables::order_route;

#[test]
fn a_difference_requires_at_most_one_order() {
    let load = || {
        Difference::Load(Order::Load {
            model: "linen".into(),
            version: "2".into(),
        })
    };
    struct Case {
        name: &'static str,
        version: &'static str,
        role: &'static str,
        observed: Observed,
        difference: Difference,
    }
    let observed = |model: &str, version: &str, loading: &str, role: &str| Observed {
        fence: 0,
        model: model.into(),
        version: version.into(),
        loading: loading.into(),
        role: role.into(),
    };
    let cases = [
        Case {
            name: "no difference",
            version: "2",
            role: "",
            observed: observed("linen", "2", "", "any"),
            difference: Difference::None,
        },
        Case {
            name: "no desired version",
            version: "",
            role: "",
            observed: observed("teff", "1", "", "any"),
            difference: Difference::None,
        },
        Case {
            name: "another version",
            version: "2",
            role: "",
            observed: observed("linen", "1", "", ""),
            difference: load(),
        },
        Case {
            name: "the same version of another model",
            version: "2",
            role: "",
            observed: observed("teff", "2", "", ""),
            difference: load(),
        },
        Case {
            name: "loading the desired version",
            version: "2",
            role: "",
            observed: observed("linen", "1", "2", ""),
            difference: Difference::Busy,
        },
        Case {
            name: "loading another version",
            version: "2",
            role: "",
            observed: observed("linen", "2", "3", ""),
            difference: Difference::Busy,
        },
        Case {
            name: "a load before a role change",
            version: "2",
            role: "prefill",
            observed: observed("linen", "1", "", "decode"),
            difference: load(),
        },
        Case {
            name: "another role",
            version: "2",
            role: "prefill",
            observed: observed("linen", "2", "", "decode"),
            difference: Difference::Role(Order::Role {
                role: "prefill".into(),
            }),
        },
    ];
    for case in cases {
        let desired = Desired {
            model: "linen".into(),
            version: case.version.into(),
            role: case.role.into(),
        };
        let difference = desired.difference(&case.observed);
        assert_eq!(difference, case.difference, "{}", case.name);
    }
}

#[test]
fn only_a_pool_with_a_model_version_has_a_desired_state() {
    let mut table = Table::default();
    let mut pool = engine_pool("drafting");
    pool.model_version = "2".into();
    table.pools.insert("drafting".into(), pool);
    table.pools.insert("other".into(), engine_pool("other"));
    for route in [
        model_route("notices", "linen-7b", "drafting"),
        model_route("other", "teff", "other"),
        order_route("a-path", "/x", "drafting"),
    ] {
        table.routes.insert(route.name.clone(), route);
    }
    let found = desired(&table, "drafting").unwrap();
    assert_eq!(
        (found.model.as_str(), found.version.as_str()),
        ("linen-7b", "2")
    );
    assert_eq!(desired(&table, "other"), None);
    assert_eq!(desired(&table, "absent"), None);
}
