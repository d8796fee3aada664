//! Memory of buffered answers: who may grow.

use bytes::Bytes;
use primrose_gateway::memory::AnswerMemory;
use quickcheck::quickcheck;

/// Size that each answer may have in any case.
const SMALL: usize = 32 << 10;
const LIMIT: usize = 1 << 20;

/// Guards against answers that grow without end and take the memory of the others.
#[test]
fn growing_answers_fail_before_they_take_all_memory() {
    struct Case {
        answers: usize,
        /// Least and greatest size that each of them may reach.
        size: (usize, usize),
    }
    let cases = [
        Case {
            answers: 1,
            size: (LIMIT / 2 - SMALL, LIMIT / 2),
        },
        Case {
            answers: 3,
            size: (LIMIT / 4 - SMALL, LIMIT / 4 + SMALL),
        },
        Case {
            answers: 100,
            size: (SMALL, SMALL),
        },
    ];
    for case in cases {
        let memory = AnswerMemory::new(LIMIT);
        let mut growing: Vec<_> = (0..case.answers).map(|_| memory.begin()).collect();
        let mut size = 0;
        while growing.iter_mut().all(|answer| answer.resize(size + SMALL)) {
            size += SMALL;
        }
        let (least, most) = case.size;
        assert!((least..=most).contains(&size), "{}: {size}", case.answers);
        assert!(
            memory.begin().resize(SMALL),
            "{}: a short one",
            case.answers
        );
        drop(growing);
        assert_eq!(memory.used(), 0, "{}", case.answers);
    }
}

#[test]
fn bytes_take_memory_until_they_are_dropped() {
    let memory = AnswerMemory::new(LIMIT);
    let mut answer = memory.begin();
    assert!(answer.resize(4));
    let bytes = answer.finish(Bytes::from_static(b"done"));
    let copy = bytes.clone();
    drop(bytes);
    assert_eq!((memory.used(), &copy[..]), (4, &b"done"[..]));
    drop(copy);
    assert_eq!(memory.used(), 0);
}

quickcheck! {
    fn use_is_the_sum_of_the_sizes(sizes: Vec<(u8, u16)>) -> bool {
        let memory = AnswerMemory::new(LIMIT);
        let mut answers: Vec<_> = (0..4).map(|_| memory.begin()).collect();
        let mut known = [0; 4];
        for (answer, size) in sizes {
            let place = usize::from(answer) % answers.len();
            let _ = answers[place].resize(size.into());
            known[place] = usize::from(size);
        }
        memory.used() == known.iter().sum::<usize>()
    }
}
