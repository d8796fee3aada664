//! Replacing the header keeps the operator's text.

use primrose_support::seeded::checker;
use primrose_table::document::Document;
use primrose_table::header::replace_header;
use primrose_table::header::Header;
use primrose_table::header::MAX_GENERATION;

use crate::roundtrip::AnyDocument;
use crate::support::VALID;

#[test]
fn comments_are_kept() {
    let text = format!("; ours\n\n{VALID}; end\n").replace("change = 00000000000000aa\n", "");
    let header = Header {
        generation: 8,
        change: 0xbb,
    };
    let replaced = replace_header(&text, header);
    assert!(replaced.starts_with(
        "; ours\n\n[document]\ngeneration = 8\nchange = 00000000000000bb\n[route chat]\n"
    ));
    assert!(replaced.ends_with("; end\n"));
    let document = Document::parse("t.ini", &replaced).expect("stamped");
    assert_eq!(document.header(), header);
}

#[test]
fn replacing_the_header_changes_nothing_else() {
    fn holds(document: AnyDocument, generation: u64, change: u64) -> bool {
        let generation = generation % MAX_GENERATION;
        let header = Header { generation, change };
        let replaced = replace_header(&document.0.render(), header);
        let mut expected = document.0;
        expected.change = change;
        expected.table.generation = generation;
        Document::parse("t.ini", &replaced) == Ok(expected)
    }
    checker().quickcheck(holds as fn(AnyDocument, u64, u64) -> bool);
}
