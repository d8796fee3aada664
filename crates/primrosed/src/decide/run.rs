//! The loop of the deciding thread.

use std::time::Duration;

use crossbeam_channel::select;
use crossbeam_channel::tick;
use crossbeam_channel::Receiver;
use primrose_dispatch::timing::TICK_EVERY;
use primrose_link::LinkEvent;

use crate::decide::Decider;
use crate::input::Input;
use crate::message::PeerMessage;

/// Time between two ticks.
const TICK: Duration = TICK_EVERY;

/// Feeds the decider until it is told to stop.
pub(crate) fn run(
    mut decider: Decider,
    inputs: &Receiver<Input>,
    links: &Receiver<LinkEvent<PeerMessage>>,
) {
    let ticks = tick(TICK);
    loop {
        select! {
            recv(ticks) -> _ => decider.tick(),
            recv(links) -> event => {
                if let Ok(event) = event {
                    decider.link(event);
                }
            }
            recv(inputs) -> input => match input {
                Ok(Input::Stop) | Err(_) => return,
                Ok(input) => decider.handle(input),
            },
        }
    }
}
