//! Event loop of the deciding thread.

use std::sync::Arc;

use crossbeam_channel::select;
use crossbeam_channel::Receiver;
use primrose_core::clock::Clock;
use primrose_link::LinkEvent;

use crate::decide::Decider;
use crate::input::Input;
use crate::message::PeerMessage;

/// Passes inputs and link events to the decider until [`Input::Stop`].
pub(crate) fn run(
    mut decider: Decider,
    clock: &Arc<dyn Clock>,
    inputs: &Receiver<Input>,
    links: &Receiver<LinkEvent<PeerMessage>>,
) {
    let mut last_tick = clock.now();
    loop {
        // An input may have shortened the delay, so it is computed for each turn.
        let due = last_tick + decider.tick_delay();
        let now = clock.now();
        if now >= due {
            decider.tick();
            last_tick = now;
            continue;
        }
        select! {
            recv(links) -> event => {
                if let Ok(event) = event {
                    decider.handle_link(event);
                }
            }
            recv(inputs) -> input => match input {
                Ok(Input::Stop) | Err(_) => return,
                Ok(input) => decider.handle(input),
            },
            default(due - now) => {}
        }
    }
}
