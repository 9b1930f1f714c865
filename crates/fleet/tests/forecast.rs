//! Forecast of the first event: replayed loads on stepped groups, compared with the choice by slots.

use std::time::Duration;

use briartray_fleet::deployment::{
    CallerLimits, DeploymentPlan, EngineModel, FIRST_TOKEN_FIXED_MS, ModelSpec, RouteBook,
    ServiceSpec,
};
use briartray_fleet::entry::{
    ChoiceRefusal, LatencyTerms, SentPrompt, TargetId, TargetQuery, TargetTable,
};
use briartray_fleet::message::{FleetView, GroupLoad, GroupView};
use briartray_model::TimePoint;
use briartray_model::names::{GroupId, IncarnationId, ServiceName, ZoneName};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ENTRIES: usize = 16;
const GROUPS: usize = 4;
const SLOTS: usize = 48;
const TARGET_MS: f64 = 500.0;
const GAP_MS: u64 = 300;
/// Prompt tokens (usual, largest) and events of the two kinds on the large model.
const KINDS: [(u32, u32, u32); 2] = [(1_420, 4_030, 23), (1_960, 5_880, 6)];

fn at(millis: u64) -> TimePoint {
    TimePoint(10_000_000 + millis * 1_000)
}

fn book() -> RouteBook {
    let model = ModelSpec {
        name: "large".to_owned(),
        size: 8,
        share: 1.0,
        pace: 1.0,
        load_time: Duration::from_secs(12),
        warmup: Duration::from_secs(1),
    };
    let engine = EngineModel {
        slots: SLOTS,
        kv_tokens: 1_000_000,
        stride: 4,
        step: Duration::from_micros(6_070),
        per_writer_ms: 0.241,
        per_context_ms: 0.00488,
        read_rate: 46_000.0,
        pairs_ms: 0.7,
        chunk: 2_048,
        loads_per_second: 3.0,
        loads_at_once: 6,
        formation: Duration::from_millis(300),
        usual_prompt: 1_690,
        usual_answer: 58,
        models: vec![model],
    };
    let service = ServiceSpec {
        name: ServiceName::new("desk"),
        health_path: "/health".to_owned(),
        max_connections: 100,
        cold: None,
        engine: Some(engine),
    };
    let limits = CallerLimits {
        max_head_bytes: 1 << 14,
        max_body_bytes: 1 << 20,
        head_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    let (routes, teams) = (Vec::new(), Vec::new());
    RouteBook::compile(DeploymentPlan {
        version: 1,
        routes,
        services: vec![service],
        limits,
        teams,
    })
}

fn table(groups: u64, entries: usize, seed: u64) -> TargetTable {
    let group = |number| GroupView {
        group: GroupId(number),
        service: ServiceName::new("desk"),
        model: "large".to_owned(),
        head: IncarnationId::new(&format!("head-{number}")),
        address: format!("10.0.0.{number}:80"),
        zone: ZoneName::new("a"),
        open: true,
        cold: None,
    };
    let groups = (1..=groups).map(group).collect();
    let mut table = TargetTable::new(ZoneName::new("a"), seed);
    table.adopt(at(0), FleetView { groups, entries, ..FleetView::default() });
    table
}

fn engine(book: &RouteBook) -> &EngineModel {
    book.plan().services[0].engine.as_ref().expect("the service has engines")
}

fn terms(book: &RouteBook, tokens: u32, events: u32) -> LatencyTerms {
    let engine = engine(book);
    let work = engine.request_work(&engine.models[0], tokens, events * engine.stride);
    let budget = Some(Duration::from_secs_f64(TARGET_MS * 0.85 / 1e3));
    LatencyTerms { work, budget, gap: Some(Duration::from_millis(GAP_MS)), headroom_within: None }
}

fn choose(
    table: &mut TargetTable,
    now: TimePoint,
    book: &RouteBook,
    latency: Option<LatencyTerms>,
) -> Result<usize, ChoiceRefusal> {
    let desk = ServiceName::new("desk");
    let query = TargetQuery { service: &desk, model: Some("large"), tried: &[], latency };
    table.choose(now, book, &query).map(|choice| match choice.target {
        TargetId::Group(group) => group.0 as usize - 1,
        TargetId::Endpoint(_) => unreachable!("the view lists no endpoints"),
    })
}

fn target(group: usize) -> TargetId {
    TargetId::Group(GroupId(group as u64 + 1))
}

/// Replays eight events of a stream on `group`, `gap_ms` apart, the last one at `until_ms`.
fn stream(table: &mut TargetTable, group: usize, gap_ms: u64, until_ms: u64) {
    let load = table.load(&target(group));
    let mut prompt = SentPrompt::send(load, 30.0);
    prompt.begin(load);
    (0..8).rev().for_each(|number| prompt.event(at(until_ms - number * gap_ms), load));
    prompt.end(load);
}

/// Records that the other entries have `others` requests and `unread_ms` of prompts on `group`.
fn record(table: &mut TargetTable, ms: u64, group: usize, others: u32, unread_ms: u32) {
    let group = GroupId(group as u64 + 1);
    table.record_other_loads(at(ms), &[GroupLoad { group, others, unread_ms }]);
}

/// A request of a replayed load.
struct Answer {
    entry: usize,
    kind: usize,
    arrived_ms: f64,
    terms: LatencyTerms,
    prompt: SentPrompt,
    events_left: u32,
    last_ms: Option<f64>,
    late: bool,
}

/// A group that is stepped pass by pass with the engine's own functions.
#[derive(Default)]
struct SteppedGroup {
    answers: Vec<Answer>,
    /// End of the current pass, and the number of prompts that it reads, in order of arrival.
    ends_ms: f64,
    reads: usize,
}

impl SteppedGroup {
    /// Ends the pass at `now_ms`, if it ends then: answers get their events, and the next begins.
    fn step(
        &mut self,
        now_ms: f64,
        (index, pace): (usize, f64),
        engine: &EngineModel,
        world: &mut [TargetTable],
        tally: &mut Tally,
    ) {
        if now_ms < self.ends_ms {
            return;
        }
        let (now, mut reads) = (at(now_ms as u64), self.reads);
        self.answers.retain_mut(|answer| {
            let Answer { entry, prompt, last_ms, .. } = answer;
            if last_ms.is_none() && reads == 0 {
                return true;
            }
            reads -= usize::from(last_ms.is_none());
            let load = world[*entry].load(&target(index));
            load.moved(now);
            prompt.begin(load);
            prompt.event(now, load);
            let limit_ms = last_ms.map_or(answer.arrived_ms + TARGET_MS, |ms| ms + GAP_MS as f64);
            answer.late |= now_ms > limit_ms;
            answer.last_ms = Some(now_ms);
            answer.events_left -= 1;
            if answer.events_left == 0 {
                prompt.end(load);
                load.end(now);
                tally.on_time[answer.kind] += u32::from(!answer.late);
            }
            answer.events_left > 0
        });
        let writers = self.answers.iter().filter(|answer| answer.last_ms.is_some()).count();
        let arrived = |answer: &&Answer| now_ms >= answer.arrived_ms + FIRST_TOKEN_FIXED_MS;
        let waiting = self.answers.iter().filter(|answer| answer.last_ms.is_none()).filter(arrived);
        let (mut reading_ms, most_ms) = (0.0, 178.0);
        self.reads = 0;
        for answer in waiting.take(SLOTS - writers.min(SLOTS)) {
            if reading_ms + answer.terms.work.reading_ms > most_ms {
                break;
            }
            reading_ms += answer.terms.work.reading_ms;
            self.reads += 1;
        }
        let pass_ms = engine.pass_ms(&engine.models[0], writers as f64, reading_ms);
        self.ends_ms = now_ms + pass_ms * pace;
    }
}

/// Requests on time of each kind, and those sent by second, to the last group and in all.
#[derive(Debug, Default)]
struct Tally {
    on_time: [u32; 2],
    last: [u32; 14],
    all: [u32; 14],
}

/// Replays `rate` requests per second for 14 s at 16 entries in front of four groups. The
/// leader is lost after `leader_ms`. The durations of the last group are multiplied by
/// `last_pace(ms)`.
fn replay(by_latency: bool, rate: f64, leader_ms: u64, last_pace: impl Fn(u64) -> f64) -> Tally {
    let book = book();
    let mut world: Vec<_> =
        (0..ENTRIES as u64).map(|seed| table(GROUPS as u64, ENTRIES, seed)).collect();
    let mut stepped: [SteppedGroup; GROUPS] = Default::default();
    let mut reports = [[(0, 0); GROUPS]; ENTRIES];
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let mut tally = Tally::default();
    for ms in 0..20_000 {
        for (index, group) in stepped.iter_mut().enumerate() {
            let pace = if index + 1 == GROUPS { last_pace(ms) } else { 1.0 };
            group.step(ms as f64, (index, pace), engine(&book), &mut world, &mut tally);
        }
        if let Some(entry) =
            (0..ENTRIES).find(|entry| ms < leader_ms && ms % 250 == *entry as u64 * 15)
        {
            for group in 0..GROUPS {
                let load = world[entry].load(&target(group));
                reports[entry][group] = (0, 0);
                let sum = reports.iter().map(|report| report[group]);
                let sum = sum.fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
                reports[entry][group] = (load.own_requests, load.unread.own_ms());
                record(&mut world[entry], ms, group, sum.0, sum.1);
            }
        }
        if ms >= 14_000 || random.random_range(0.0..1.0) >= rate / 1e3 {
            continue;
        }
        let kind = random.random_range(0..2);
        let (usual, largest, events) = KINDS[kind];
        let usual = (f64::from(usual) * random.random_range(0.4..1.6)) as u32;
        let tokens = if random.random_range(0..50) == 0 { largest } else { usual };
        let (entry, terms) = (random.random_range(0..ENTRIES), terms(&book, tokens, events));
        let latency = by_latency.then_some(terms);
        let Ok(group) = choose(&mut world[entry], at(ms), &book, latency) else { continue };
        let load = world[entry].load(&target(group));
        load.begin(at(ms));
        let prompt = SentPrompt::send(load, terms.work.reading_ms);
        let arrived_ms = ms as f64;
        let (last_ms, late, events_left) = (None, false, events);
        let answer = Answer { entry, kind, arrived_ms, terms, prompt, events_left, last_ms, late };
        stepped[group].answers.push(answer);
        tally.last[ms as usize / 1_000] += u32::from(group + 1 == GROUPS);
        tally.all[ms as usize / 1_000] += 1;
    }
    tally
}

/// Four of eight groups are lost while callers send 1.7 times as much, in two kinds of which one has
/// four times as many events. Groups filled to their slots start everything late; by forecast, more
/// of each kind must be on time, also when the leader is lost, from whom entries learn of others.
/// At usual load the margin must refuse hardly anyone.
#[test]
fn a_burst_on_half_the_groups_is_served_on_time() {
    let pair = |rate, leader_ms| [false, true].map(|by| replay(by, rate, leader_ms, |_| 1.0));
    let [naive, chosen] = pair(1.7 * 2.0 * 44.0, u64::MAX);
    let [usual_naive, usual] = pair(44.0, u64::MAX);
    let [lost_naive, lost] = pair(1.7 * 2.0 * 44.0, 4_000);

    println!("burst: naive {naive:?}, by forecast {chosen:?}");
    println!("usual load: naive {usual_naive:?}, by forecast {usual:?}");
    let on_time = |tally: &Tally| tally.on_time.iter().sum::<u32>();
    let sent = |tally: &Tally| tally.all.iter().sum::<u32>();
    assert!(on_time(&chosen) * 2 >= on_time(&naive) * 3);
    assert!(on_time(&chosen) * 10 >= sent(&chosen) * 7);
    assert!((0..2).all(|kind| chosen.on_time[kind] > naive.on_time[kind]));
    println!("leader lost: naive {lost_naive:?}, by forecast {lost:?}");
    assert!(on_time(&lost) >= on_time(&lost_naive) * 2);
    assert!(sent(&usual) * 100 >= sent(&usual_naive) * 93);
    assert!(on_time(&usual) * 100 >= on_time(&usual_naive) * 90);
}

/// A host makes its group four times slower for four seconds. The group must get few requests
/// meanwhile, without being told by anyone, and its full part again after it recovered.
#[test]
fn a_slow_group_is_left_and_tried_again() {
    let slow = |ms| if (4_000..8_000).contains(&ms) { 4.0 } else { 1.0 };

    let tally = replay(true, 50.0, u64::MAX, slow);

    let part = |seconds: std::ops::Range<usize>| {
        let (last, all) = (&tally.last[seconds.clone()], &tally.all[seconds]);
        f64::from(last.iter().sum::<u32>()) / f64::from(all.iter().sum::<u32>())
    };
    assert!(part(5..8) < 0.12, "{tally:?}");
    assert!(part(5..8) > 0.0, "it is never tried: {tally:?}");
    assert!(part(9..14) > 0.2, "{tally:?}");
}

/// The last stream on the only group measured a pass of 400 ms. New requests would be late there; a
/// stream that has begun must still be resumed there, since its caller would otherwise lose the
/// whole answer. The old measurement must not exclude the group for ever.
#[test]
fn a_late_group_takes_resumed_streams_and_is_tried_again() {
    let (book, mut table) = (book(), table(1, 1, 1));
    let new = terms(&book, 1_420, 23);
    let resume = LatencyTerms { budget: None, gap: Some(Duration::from_millis(100)), ..new };
    stream(&mut table, 0, 400, 3_000);

    let refused = choose(&mut table, at(3_100), &book, Some(new));
    let resumed = choose(&mut table, at(3_100), &book, Some(resume));
    let later = choose(&mut table, at(4_000), &book, Some(new));

    assert!(matches!(refused, Err(ChoiceRefusal::Late { best_ms: 1_000.. })), "{refused:?}");
    assert_eq!((resumed, later), (Ok(0), Ok(0)));
}

/// A prompt of 5,800 tokens holds up all streams of a group for 138 ms. With a gap target of 200 ms
/// it must not go to a group of 44 streams while another one has few, and short prompts still may.
/// Where all groups are busy it must be taken like a usual one: refusing it would starve callers
/// with long prompts. If a usual prompt would be late, it is refused as late.
#[test]
fn a_long_prompt_stays_away_from_groups_whose_streams_it_would_hold_up() {
    let (book, mut table) = (book(), table(2, 1, 1));
    let gap = Some(Duration::from_millis(200));
    let (long, short) = (terms(&book, 5_800, 6), terms(&book, 400, 6));
    let (long, short) = (LatencyTerms { gap, ..long }, LatencyTerms { gap, ..short });
    record(&mut table, 0, 0, 44, 0);
    record(&mut table, 0, 1, 4, 0);
    let mut reached = |latency| -> Vec<usize> {
        (0..50).filter_map(|ms| choose(&mut table, at(ms), &book, latency).ok()).collect()
    };

    assert_eq!(reached(Some(long)), [1; 50]);
    assert!(reached(Some(short)).contains(&0));
    assert!(reached(None).contains(&0), "slots alone do not keep it away");

    record(&mut table, 0, 1, 44, 0);
    assert!(choose(&mut table, at(60), &book, Some(long)).is_ok());

    (0..2).for_each(|group| record(&mut table, 60, group, 44, 600));
    for latency in [long, short] {
        let refusal = choose(&mut table, at(90), &book, Some(latency));
        let detail = table.choice_detail();
        assert_eq!(refusal.err(), detail.best_ms.map(|best_ms| ChoiceRefusal::Late { best_ms }));
        assert_eq!(detail.known_ms, Some(30));
    }
}

/// A group opens, empty, beside seven that run 30 streams, and 64 entries learn of it at once. Until
/// its first events come it must not get several times an equal part of the prompts.
#[test]
fn a_group_that_just_opened_is_not_flooded() {
    let (book, mut sent) = (book(), [0; 8]);

    for seed in 0..64 {
        let mut table = table(8, 64, seed);
        for group in 1..8 {
            record(&mut table, 0, group, 30, 60);
            stream(&mut table, group, 90, 1_000);
        }
        for ms in 0..4 {
            let latency = Some(terms(&book, 1_420, 23));
            let Ok(group) = choose(&mut table, at(1_000 + ms), &book, latency) else { continue };
            table.begin(at(1_000 + ms), &target(group));
            SentPrompt::send(table.load(&target(group)), 32.0);
            sent[group] += 1;
        }
    }

    println!("the first group has just opened: {sent:?}");
    assert!(f64::from(sent[0]) * 7.0 < 1.6 * f64::from(sent[1..].iter().sum::<u32>()), "{sent:?}");
}

/// An entry without the section `overload` also learns gaps and unread prompts. They must not
/// change any of its choices.
#[test]
fn without_terms_every_choice_stays_the_same() {
    let (book, mut plain, mut informed) = (book(), table(4, 1, 9), table(4, 1, 9));
    for group in 0..4 {
        record(&mut plain, 0, group, 20, 0);
        record(&mut informed, 0, group, 20, 400 * group as u32);
        stream(&mut informed, group, 60 + 20 * group as u64, 900);
    }

    for ms in 0..200 {
        let before = choose(&mut plain, at(900 + ms), &book, None);
        assert_eq!(choose(&mut informed, at(900 + ms), &book, None), before);
    }
}

/// The leader adds up unread prompts. One that stayed in the report after its first event or its
/// end would exclude the group everywhere. A caller that reads slowly is no sign of a slow group.
#[test]
fn prompts_are_unread_until_their_first_event_or_end() {
    let mut table = table(1, 1, 1);
    let load = table.load(&target(0));
    let (mut first, second) = (SentPrompt::send(load, 31.5), SentPrompt::send(load, 126.0));

    let sent = load.unread.own_ms();
    first.begin(load);
    let begun = load.unread.own_ms();
    second.end(load);
    first.event(at(0), load);
    first.skip_gap(Duration::from_millis(700));
    first.event(at(710), load);

    assert_eq!((sent, begun, load.unread.own_ms()), (158, 126, 0));
    assert!(!load.pass.is_valid(at(720)));
}

/// Entries that each fill a group up to its slots exceed them together, since they learn of each other
/// late; the excess waits there. The last slots must stay free while the group is on time, and be used
/// where it is late already.
#[test]
fn groups_keep_headroom_while_they_are_on_time() {
    let (book, mut table) = (book(), table(1, 1, 1));
    let target = Duration::from_secs_f64(TARGET_MS / 1e3);
    let all = LatencyTerms { gap: None, ..terms(&book, 1_420, 23) };
    let kept = LatencyTerms { headroom_within: Some(target), ..all };
    let late = LatencyTerms { headroom_within: Some(Duration::from_millis(50)), ..all };
    record(&mut table, 0, 0, 42, 0);

    assert!(choose(&mut table, at(1), &book, Some(all)).is_ok());
    assert_eq!(choose(&mut table, at(1), &book, Some(kept)), Err(ChoiceRefusal::Full));
    assert!(choose(&mut table, at(1), &book, Some(late)).is_ok());

    record(&mut table, 2, 0, 30, 0);
    assert!(choose(&mut table, at(3), &book, Some(kept)).is_ok());
}
