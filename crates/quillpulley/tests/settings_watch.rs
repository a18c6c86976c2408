//! The settings that a running process takes from its file, tested with timelines. The columns of a timeline are: the file,
//! and what is in force afterwards. The file is given by its lines, separated by `;`, behind those that each file has; `-`
//! stands for a file that cannot be read.

use quillpulley::settings_watch::{Section, SettingsWatch};
use quillpulley::Settings;
use quillpulley_settings::SettingsError;
use std::time::Duration;

const INTERVAL: Duration = Duration::from_secs(3);
const COMMON: &str = "Ip = \"10.0.0.1\"\nZone = \"a\"\nRegion = \"west\"\nPortRange = [7000, 7010]\n";

fn parse(lines: &str) -> Result<Settings, SettingsError> {
    match lines {
        "-" => Err(SettingsError::NoPath),
        lines => Settings::parse(&format!("{COMMON}{}", lines.replace(';', "\n"))),
    }
}

fn in_force(settings: &Settings) -> String {
    let seeds: Vec<String> = settings.seeds.iter().map(ToString::to_string).collect();
    let zones: Vec<&str> = settings.zones.keys().map(String::as_str).collect();
    let bounds = &settings.bounds;
    let lag = settings.platform.as_ref().map_or(0, |platform| platform.max_lag.as_millis());
    format!(
        "seeds {}, zones {}, grace {}, slack {}, lag {lag}",
        seeds.join(" "),
        zones.join(" "),
        bounds.grace.as_secs(),
        bounds.retry_slack
    )
}

/// Runs a timeline of a process that applies these sections. Its first line gives the settings at the start.
fn run_timeline(applied: &'static [Section], timeline: &str) {
    let mut lines = timeline.lines().map(str::trim).filter(|line| !line.is_empty()).map(|line| {
        let (file, expected) = line.split_once('|').expect("a line must have two columns");
        (file.trim(), expected.trim())
    });
    let (file, expected) = lines.next().expect("a timeline must have a line");
    let settings = parse(file).expect("the settings at the start are valid");
    assert_eq!(in_force(&settings), expected, "{file}");
    let mut watch = SettingsWatch::new(Duration::ZERO, settings, applied, INTERVAL);
    for (file, expected) in lines {
        let before = in_force(watch.settings());
        let now = watch.next_reading();
        let has_changed = watch.update(now, parse(file));
        assert_eq!(in_force(watch.settings()), expected, "{file}");
        assert_eq!(has_changed, before != expected, "{file}");
        assert_eq!(watch.next_reading(), now + INTERVAL);
    }
}

#[test]
fn the_sections_that_a_process_applies_change_with_the_file() {
    run_timeline(
        &[Section::Seeds, Section::Bounds],
        r#"
        Seeds = ["10.0.0.9:1"]; [Bounds]; GraceS = 8 | seeds 10.0.0.9:1, zones , grace 8, slack 10, lag 0
        Seeds = ["10.0.0.8:1"]; [Bounds]; GraceS = 8 | seeds 10.0.0.8:1, zones , grace 8, slack 10, lag 0
        Seeds = ["10.0.0.8:1"]; [Bounds]; GraceS = 9 | seeds 10.0.0.8:1, zones , grace 9, slack 10, lag 0
        Seeds = ["10.0.0.8:1"]; [Bounds]; GraceS = 9 | seeds 10.0.0.8:1, zones , grace 9, slack 10, lag 0
        "#,
    );
}

/// Guards against proxies that take servers of a new zone for servers without a region until their next start.
#[test]
fn a_zone_that_is_added_becomes_known() {
    run_timeline(
        &[Section::Zones],
        r#"
        [Zones]; a = "west"             | seeds , zones a, grace 8, slack 10, lag 0
        [Zones]; a = "west"; b = "east" | seeds , zones a b, grace 8, slack 10, lag 0
        [Zones]; b = "east"             | seeds , zones b, grace 8, slack 10, lag 0
        "#,
    );
}

#[test]
fn other_sections_apply_from_the_next_start() {
    run_timeline(
        &[Section::Seeds],
        r#"
        Seeds = ["10.0.0.9:1"]; [Bounds]; GraceS = 8 | seeds 10.0.0.9:1, zones , grace 8, slack 10, lag 0
        Seeds = ["10.0.0.9:1"]; [Bounds]; GraceS = 9 | seeds 10.0.0.9:1, zones , grace 8, slack 10, lag 0
        Seeds = ["10.0.0.8:1"]; [Bounds]; GraceS = 9 | seeds 10.0.0.8:1, zones , grace 8, slack 10, lag 0
        "#,
    );
}

/// Guards against settings that are lost while their file is being written, or cannot be read.
#[test]
fn a_section_that_is_not_complete_stays_as_it_was() {
    run_timeline(
        &[Section::Seeds, Section::Zones, Section::Bounds],
        r#"
        Seeds = ["10.0.0.9:1"]; [Zones]; a = "west"; [Bounds]; GraceS = 9; RetrySlack = 7   | seeds 10.0.0.9:1, zones a, grace 9, slack 7, lag 0
        Seeds = ["10.0.0.9:1"]; [Zones]; a = "west"; [Bounds]; GraceS = 10                  | seeds 10.0.0.9:1, zones a, grace 9, slack 7, lag 0
        Seeds = ["10.0.0.9:1"]; [Zones]; a = "west"                                         | seeds 10.0.0.9:1, zones a, grace 9, slack 7, lag 0
        Seeds = ["10.0.0.9:1"]; [Zones]                                                     | seeds 10.0.0.9:1, zones a, grace 9, slack 7, lag 0
        Seeds = []                                                                          | seeds 10.0.0.9:1, zones a, grace 9, slack 7, lag 0
        -                                                                                   | seeds 10.0.0.9:1, zones a, grace 9, slack 7, lag 0
        Seeds = ["10                                                                        | seeds 10.0.0.9:1, zones a, grace 9, slack 7, lag 0
        Seeds = ["10.0.0.9:1"]; [Zones]; a = "west"; [Bounds]; GraceS = 10; RetrySlack = 7  | seeds 10.0.0.9:1, zones a, grace 10, slack 7, lag 0
        "#,
    );
}

#[test]
fn a_platform_that_moves_is_taken_only_with_all_its_keys() {
    run_timeline(
        &[Section::Cloud],
        r#"
        [Cloud]; Address = "10.0.0.2:1"; MaxLagMs = 700 | seeds , zones , grace 8, slack 10, lag 700
        [Cloud]; Address = "10.0.0.3:1"                 | seeds , zones , grace 8, slack 10, lag 700
        [Cloud]; Address = "10.0.0.3:1"; MaxLagMs = 900 | seeds , zones , grace 8, slack 10, lag 900
        "#,
    );
}
