//! Draws the requests that arrive, and their sizes.

use primrose_core::clock::Mono;
use primrose_fleet::place::Prompt;
use rand::Rng;

use super::Caller;
use super::Simulation;
use super::TICK;
use crate::deployment::placement_request;
use crate::pattern::Disturbance;
use crate::score::RequestLabels;

impl Simulation {
    pub(super) fn draw_arrivals(&mut self, now: Mono) {
        for class in 0..self.pattern.classes.len() {
            let mut rate = self.pattern.classes[class].rate * self.pattern.load;
            for disturbance in self.pattern.disturbances_at(now) {
                match disturbance {
                    Disturbance::Burst {
                        class: affected,
                        factor,
                    } if affected == class => rate *= factor,
                    _ => {}
                }
            }
            for account in 0..self.pattern.accounts {
                let rate = rate * self.account_share(account, now);
                if self.rng.random_bool((rate * TICK.as_secs_f64()).min(1.0)) {
                    let caller = self.draw_caller(class, account, now);
                    let requested = caller.request.prompt.map_or(0, |prompt| prompt.service());
                    self.score.largest_request = self.score.largest_request.max(requested);
                    self.score.tokens_mut(now.as_secs(), account).requested += requested;
                    self.arrive(caller, now);
                }
            }
        }
    }

    fn account_share(&self, account: usize, now: Mono) -> f64 {
        let weight = |account: usize| (account as f64 + 1.0).powf(-self.pattern.skew);
        let total: f64 = (0..self.pattern.accounts).map(weight).sum();
        let mut share = weight(account) / total;
        for disturbance in self.pattern.disturbances_at(now) {
            match disturbance {
                Disturbance::AccountSurge {
                    account: affected,
                    factor,
                } if affected == account => share *= factor,
                _ => {}
            }
        }
        share
    }

    fn draw_caller(&mut self, class: usize, account: usize, now: Mono) -> Caller {
        let class_config = self.pattern.classes[class];
        let mut prefix = self.rng.random_range(0..class_config.prefixes);
        let mut impatient = false;
        let mut retries = 1;
        let disturbances: Vec<Disturbance> = self.pattern.disturbances_at(now).collect();
        for disturbance in disturbances {
            match disturbance {
                Disturbance::HotPrefix {
                    class: affected,
                    share,
                } if affected == class && self.rng.random_bool(share) => prefix = 0,
                Disturbance::ImmediateRetries {
                    share,
                    retries: max_retries,
                } => {
                    impatient = self.rng.random_bool(share);
                    if impatient {
                        retries = max_retries;
                    }
                }
                _ => {}
            }
        }
        // Sizes vary from half to twice the mean.
        let size = 2.0_f64.powf(self.rng.random_range(-1.0..1.0));
        let scaled = |mean: u64| (mean as f64 * size) as u64;
        let prompt = Prompt {
            shared: (class as u64) << 32 | prefix,
            shared_tokens: class_config.shared_tokens,
            own_tokens: scaled(class_config.own_tokens),
            output_tokens: scaled(class_config.output_tokens) * 2,
        };
        let worth = class_config.worth * (0.3 + 0.7 * size);
        Caller {
            labels: RequestLabels {
                account,
                class,
                zone: self.rng.random_range(0..self.pattern.zones),
                second: now.as_secs(),
            },
            worth,
            output_tokens: scaled(class_config.output_tokens),
            request: placement_request(&class_config, account, prompt, self.rng.random(), now),
            arrived: now,
            objective: class_config.objective,
            first_token: None,
            retries_left: retries,
            impatient,
        }
    }
}
