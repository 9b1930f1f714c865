//! Group downtime after silences and losses. `--nocapture` prints the figures of
//! `docs/design/silent-hosts.md`.

use std::time::Duration;

use rand::RngExt;

use crate::fleet::{STEP, TestFleet};
use crate::models::{LARGE, SMALL};
use crate::silences::{FOR_GOOD, agreed_groups, random_member, serving_of};

/// Number of seeds.
const SEEDS: u64 = 12;

/// Time for which downtime is counted after the trouble begins.
const OBSERVED: Duration = Duration::from_secs(8);

#[derive(Debug, Clone, Copy)]
enum Trouble {
    /// Hosts answer and send nothing for a time.
    Silent(Duration),
    /// Their processes are gone: connections are refused.
    Refused,
}

#[derive(Debug, Clone, Copy)]
enum Affected {
    Head,
    Member,
    /// About four hosts of ten.
    Many,
    All,
}

/// Cost of one trouble.
struct Cost {
    /// Sum over the groups of the time that they were missing or silent.
    down: Duration,
    /// Groups that the trouble silenced or broke.
    hit: usize,
    /// Groups that the leader ended.
    ended: usize,
}

fn choose_hosts(fleet: &mut TestFleet, affected: Affected) -> Vec<usize> {
    let all = fleet.hosts.len();
    match affected {
        Affected::Head => vec![random_member(fleet, true)],
        Affected::Member => vec![random_member(fleet, false)],
        Affected::Many => (0..all).filter(|_| fleet.random.random_bool(0.4)).collect(),
        Affected::All => (0..all).collect(),
    }
}

/// Brings `trouble` about at a random moment and counts what it costs.
fn cost(mut fleet: TestFleet, trouble: Trouble, affected: Affected) -> Cost {
    let hosts = choose_hosts(&mut fleet, affected);
    let pause = Duration::from_millis(fleet.random.random_range(0..1_000));
    fleet.run_for(pause);
    let groups = agreed_groups(&fleet);
    let before = [LARGE, SMALL].map(|model| serving_of(&fleet, model));
    for host in hosts {
        match trouble {
            Trouble::Silent(time) => fleet.silence(host, time),
            Trouble::Refused => fleet.hosts[host].alive = false,
        }
    }
    let hit = before[0] + before[1] - fleet.serving_groups().len();
    let end = fleet.now.after(OBSERVED);
    let mut down = Duration::ZERO;
    while fleet.now < end {
        fleet.step();
        let now = [LARGE, SMALL].map(|model| serving_of(&fleet, model));
        let missing = before[0].saturating_sub(now[0]) + before[1].saturating_sub(now[1]);
        down += STEP * u32::try_from(missing).expect("a fleet has few groups");
    }
    let left = agreed_groups(&fleet);
    let ended = groups.iter().filter(|group| !left.contains(group)).count();
    Cost { down, hit, ended }
}

/// Costs of `trouble` for all seeds, printed as one line.
fn costs(fleets: &[TestFleet], trouble: Trouble, affected: Affected) -> Vec<Cost> {
    let costs: Vec<Cost> =
        fleets.iter().map(|fleet| cost(fleet.clone(), trouble, affected)).collect();
    let downs = || costs.iter().map(|cost| cost.down.as_secs_f64());
    let (mean, most) = (downs().sum::<f64>() / costs.len() as f64, downs().fold(0.0, f64::max));
    let hit: usize = costs.iter().map(|cost| cost.hit).sum();
    let ended: usize = costs.iter().map(|cost| cost.ended).sum();
    println!("{trouble:?} {affected:?}: {mean:.2} s, at most {most:.2}; {ended} of {hit} ended");
    costs
}

/// Guards against a leader that makes a silence last longer for callers than it does: a group that
/// goes on by itself within about a second serves again at that moment.
#[test]
fn a_silence_costs_no_more_than_its_time() {
    let fleets: Vec<TestFleet> = (0..SEEDS).map(|seed| TestFleet::serving(40_000 + seed)).collect();

    for affected in [Affected::Head, Affected::Member, Affected::Many, Affected::All] {
        for millis in [800, 1_000, 1_200] {
            let silence = Duration::from_millis(millis);
            for cost in costs(&fleets, Trouble::Silent(silence), affected) {
                let bound = silence * u32::try_from(cost.hit).expect("a fleet has few groups");
                assert!(cost.down <= bound, "{affected:?} {silence:?}: {:?}", cost.down);
            }
        }
        costs(&fleets, Trouble::Silent(Duration::from_millis(1_300)), affected);
        costs(&fleets, Trouble::Silent(Duration::from_millis(1_600)), affected);
    }
}

/// Guards against waiting for the end of a silence where refused connections show that an endpoint
/// is gone.
#[test]
fn refused_connections_are_no_silence() {
    let fleets: Vec<TestFleet> = (0..SEEDS).map(|seed| TestFleet::serving(40_000 + seed)).collect();

    for affected in [Affected::Head, Affected::Member] {
        let refused = costs(&fleets, Trouble::Refused, affected);
        let silent = costs(&fleets, Trouble::Silent(FOR_GOOD), affected);

        for (refused, silent) in refused.iter().zip(&silent) {
            assert!(refused.down < silent.down, "{:?}, {:?}", refused.down, silent.down);
        }
    }
}
