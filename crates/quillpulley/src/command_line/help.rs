//! The texts that `--help` prints.

/// The help text of the program without a subcommand.
pub const PROGRAM: &str = "\
quillpulley serves language models and applications across regions.

Usage: quillpulley SUBCOMMAND [OPTION...]

Subcommands:
  proxy            serve clients on this machine
  agent            connect the proxy of this machine with the control plane
  control          serve the operator and the directory, and keep the control state
  check FILE...    check settings files and operator's configurations
  help             print this text

Options:
  -h, --help       print this text, or that of a subcommand
  -V, --version    print the version

The roles read a settings file (TOML) whose path is in the variable QUILLPULLEY_CONFIG, log to standard error,
end on SIGTERM, and exit with 0, or with 2 where they cannot start.
";

/// The help text of `quillpulley proxy`.
pub const PROXY: &str = "\
Serves clients: takes requests at Listen.Front of the settings and passes them on to servers. It answers checks
at Listen.Ready with 200 once it has the published state from the agent of its machine.

Usage: quillpulley proxy [OPTION...]

Options:
  --log LEVEL   log what is at least so important: off, error, warn, info (default), debug, trace
  -h, --help    print this text

On SIGTERM it finishes what it has read, for GraceS at most. It takes Zones and Bounds of the settings when they
change, on SIGHUP at once.
";

/// The help text of `quillpulley agent`.
pub const AGENT: &str = "\
Keeps the link to the control plane, passes published state on to the proxy of its machine and to other agents,
and sums up their counts. It uses the second and the third port of PortRange.

Usage: quillpulley agent [OPTION...]

Options:
  --log LEVEL   log what is at least so important: off, error, warn, info (default), debug, trace
  -h, --help    print this text

On SIGTERM it ends once its proxy has ended, or a second before GraceS is over. It takes Seeds and Bounds of the
settings when they change, on SIGHUP at once.
";

/// The help text of `quillpulley control`.
pub const CONTROL: &str = "\
Serves the operator at Listen.Control and clients that ask where to go at Listen.Directory, and keeps the
control state in DataDir together with the other core processes. It uses the first port of PortRange.

Usage: quillpulley control [OPTION...]

Options:
  --log LEVEL   log what is at least so important: off, error, warn, info (default), debug, trace
  -h, --help    print this text

On SIGTERM a primary hands over, and the process ends within half a second. It takes Seeds and Cloud of the
settings when they change, on SIGHUP at once.
";

/// The help text of `quillpulley check`.
pub const CHECK: &str = "\
Checks settings files (TOML) and operator's configurations (JSON), which are told apart by their contents. For
each file it prints what is wrong and what to do about it, or that it is fine. Settings have to hold what those need
whom Serves names.

Usage: quillpulley check FILE...

Exits with 0 if all files are fine, else with 1.
";
