//! The output and the exit codes of the program.

use std::ffi::OsStr;
use std::fs;
use std::path::PathBuf;
use std::process::{Command, Output};

const SETTINGS: &str = r#"
NodeName = "front-zona-10-1"
Ip = "127.0.0.1"
Zone = "zona-10"
Region = "gt-central"
PortRange = [7720, 7735]
"#;

const CONFIGURATION: &str = r#"
{
  "Version": 7,
  "Routes": [{
    "Name": "cards", "Host": "cards.example", "PathPrefix": "/cards/", "Kind": "non_idempotent",
    "TimeoutMs": 3000, "Service": "card-service"
  }],
  "Services": [{"Name": "card-service", "HealthPath": "/health", "MaxConnections": 100}]
}
"#;

fn quillpulley<A: AsRef<OsStr>>(arguments: &[A]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_quillpulley"));
    command.args(arguments).env_remove("QUILLPULLEY_CONFIG");
    command.output().expect("the program runs")
}

fn stdout_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn stderr_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// Writes a file with this name and these contents to the temporary directory of the build. Returns its path.
fn write_file(name: &str, contents: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, contents).expect("a file");
    path
}

#[test]
fn help_and_version_are_printed() {
    for (arguments, part) in [
        (&["--help"][..], "Usage: quillpulley SUBCOMMAND"),
        (&["help"], "Usage: quillpulley SUBCOMMAND"),
        (&["proxy", "--help"], "Usage: quillpulley proxy"),
        (&["agent", "-h"], "Usage: quillpulley agent"),
        (&["control", "--help"], "Usage: quillpulley control"),
        (&["check", "--help"], "Usage: quillpulley check FILE..."),
        (&["--version"], concat!("quillpulley ", env!("CARGO_PKG_VERSION"))),
    ] {
        let output = quillpulley(arguments);
        assert_eq!(output.status.code(), Some(0), "{arguments:?}");
        assert!(stdout_text(&output).contains(part), "{arguments:?}: {}", stdout_text(&output));
    }
}

/// The texts in `fixtures/help` were printed by the program at commit 0b0971f.
#[test]
fn the_help_text_is_unchanged() {
    for (subcommand, text) in [
        (None, include_str!("fixtures/help/program.txt")),
        (Some("proxy"), include_str!("fixtures/help/proxy.txt")),
        (Some("agent"), include_str!("fixtures/help/agent.txt")),
        (Some("control"), include_str!("fixtures/help/control.txt")),
        (Some("check"), include_str!("fixtures/help/check.txt")),
    ] {
        let arguments: Vec<&str> = subcommand.into_iter().chain(["--help"]).collect();
        let output = quillpulley(&arguments);
        assert_eq!((output.status.code(), stdout_text(&output).as_str()), (Some(0), text), "{arguments:?}");
    }
}

#[test]
fn invalid_arguments_exit_with_code_2_and_refer_to_the_help() {
    for (arguments, part) in [
        (&[][..], "missing subcommand: see quillpulley --help"),
        (&["serve"], "unknown subcommand serve"),
        (&["--verbose"], "unexpected argument \"--verbose\""),
        (&["agent", "extra"], "see quillpulley agent --help"),
        (&["agent", "--log", "loud"], "see quillpulley agent --help"),
        (&["check"], "missing file: see quillpulley check --help"),
    ] {
        let output = quillpulley(arguments);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}");
        assert!(stderr_text(&output).contains(part), "{arguments:?}: {}", stderr_text(&output));
    }
}

#[test]
fn a_role_without_settings_exits_with_code_2_and_names_the_variable() {
    for role in ["proxy", "agent", "control"] {
        let output = quillpulley(&[role]);
        assert_eq!(output.status.code(), Some(2), "{role}");
        assert!(
            stderr_text(&output).contains("set it to the path of the settings file"),
            "{}",
            stderr_text(&output)
        );
    }
}

#[test]
fn check_accepts_valid_files() {
    let settings = write_file("fine.toml", SETTINGS);
    let configuration = write_file("fine.json", CONFIGURATION);
    let output = quillpulley(&[OsStr::new("check"), settings.as_os_str(), configuration.as_os_str()]);
    assert_eq!(output.status.code(), Some(0), "{}", stdout_text(&output));
    assert!(
        stdout_text(&output).contains("fine.toml: settings of front-zona-10-1, no errors"),
        "{}",
        stdout_text(&output)
    );
    assert!(
        stdout_text(&output).contains("fine.json: configuration 7, no errors"),
        "{}",
        stdout_text(&output)
    );
}

#[test]
fn check_reports_each_invalid_file_and_how_to_correct_it() {
    let fine = write_file("fine-too.toml", SETTINGS);
    let no_ip = write_file("no-ip.toml", &SETTINGS.replace("Ip = ", "Address = "));
    let no_toml = write_file("no-toml.toml", "Ip = ");
    let no_service = write_file(
        "no-service.json",
        &CONFIGURATION.replace("\"Name\": \"card-service\"", "\"Name\": \"x\""),
    );
    let missing = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("missing.toml");
    let files = [&fine, &no_ip, &no_toml, &no_service, &missing];
    let mut arguments = vec![OsStr::new("check")];
    arguments.extend(files.iter().map(|file| file.as_os_str()));
    let output = quillpulley(&arguments);
    assert_eq!(output.status.code(), Some(1));
    let printed = stdout_text(&output);
    for part in [
        "fine-too.toml: settings of front-zona-10-1, no errors",
        "no-ip.toml: the settings lack Ip: add it as an IPv4 address",
        "no-toml.toml: the settings are no TOML (line 1",
        "no-service.json: route cards names the service card-service, which is not known: add it to Services",
        "missing.toml cannot be read",
    ] {
        assert!(printed.contains(part), "{part}: {printed}");
    }
}

#[test]
fn check_requires_the_keys_for_the_callers_that_are_served() {
    let listen = |addresses: &str| format!("[Listen]\n{addresses}\n");
    let all = "Front = \"127.0.0.1:8161\"\nReady = \"127.0.0.1:8167\"\nControl = \"127.0.0.1:8166\"\n\
               Directory = \"127.0.0.1:8168\"";
    for (number, (serves, rest, expected)) in [
        ("front", listen(all), "no errors"),
        ("front", listen("Front = \"127.0.0.1:8161\""), "the settings lack Listen.Ready: add it"),
        ("front", String::new(), "the settings lack Listen.Front: add it"),
        ("directory", String::new(), "the settings lack Listen.Directory: add it"),
        ("control", String::new(), "the settings lack Listen.Control: add it"),
        ("control", listen(all), "the settings lack DataDir: add it as the path of a folder"),
        ("control", format!("DataDir = \"/data\"\n{}", listen(all)), "no errors"),
    ]
    .into_iter()
    .enumerate()
    {
        let name = format!("serves-{number}.toml");
        let path = write_file(&name, &format!("Serves = [\"{serves}\"]\n{SETTINGS}{rest}"));
        let output = quillpulley(&[OsStr::new("check"), path.as_os_str()]);
        assert!(stdout_text(&output).contains(expected), "{serves}: {}", stdout_text(&output));
        assert_eq!(output.status.success(), expected == "no errors", "{serves}");
    }
}

#[test]
fn an_unknown_mechanism_cannot_be_disabled() {
    let output = quillpulley(&["proxy", "--without", "nothing_of_this_name"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(stderr_text(&output).contains("see quillpulley proxy --help"), "{}", stderr_text(&output));
}
