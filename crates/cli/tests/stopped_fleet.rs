//! Data folder of a fleet after a stop.

use briartray::demo::{DemoFleet, DemoPlan};

/// Number of starts with the same data folder.
const STARTS: usize = 10;

/// Guards against a stop that returns while the control host still writes to its data folder.
#[test]
fn stopped_fleet_has_released_its_data_folder() {
    let folder = tempfile::tempdir().expect("a folder");
    let data_folder = Some(folder.path().to_owned());
    let plan = DemoPlan { data_folder, engines: 0, services: 0, ..DemoPlan::default() };

    for start in 0..STARTS {
        let fleet =
            DemoFleet::start(&plan).unwrap_or_else(|error| panic!("start {start}: {error}"));
        fleet.stop();
    }
}
