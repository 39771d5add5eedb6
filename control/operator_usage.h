#pragma once

namespace jd {

/// Usage text of the operator commands, from which docopt parses the command line.
inline constexpr const char kOperatorUsage[] = R"(jackdawdeck operator commands.

Usage:
  jackdawdeck profile put NAME FILE [--base=VERSION] [options]
  jackdawdeck profile show NAME [options]
  jackdawdeck profile list [options]
  jackdawdeck service put NAME FILE [--base=VERSION] [options]
  jackdawdeck service show NAME [options]
  jackdawdeck service list [options]
  jackdawdeck workspace put NAME SHARE_OR_FILE [--base=VERSION] [options]
  jackdawdeck workspace show NAME [options]
  jackdawdeck workspace list [options]
  jackdawdeck zone out ZONE [--unrecorded] [--base=VERSION] [options]
  jackdawdeck zone in ZONE [--base=VERSION] [options]
  jackdawdeck zone list [options]
  jackdawdeck config load FILE [options]
  jackdawdeck config log [--limit=N] [options]
  jackdawdeck config show [options]
  jackdawdeck config diff FROM TO [options]
  jackdawdeck config rollback KIND NAME VERSION [options]
  jackdawdeck status [options]
  jackdawdeck timeline [--request=ID] [--endpoint=ID] [--zone=ZONE] [--kind=KIND]
                       [--format=FORMAT] [options]

Options:
  --gateway=ADDRESS   IP address and peer port of any gateway [default: 127.0.0.1:7003].
  --key-file=FILE     File with the shared key; if absent, the variable JACKDAWDECK_KEY is used.
  --author=NAME       Name that is recorded with a change [default: operator].
  --base=VERSION      Version that the change is based on; refused unless it is the current one.
  --limit=N           Number of newest log entries to print [default: 20].
  --format=FORMAT     text, json, or trace for a trace viewer [default: text].
  --timeout=SECONDS   Limit for the whole command [default: 5].
  --json              Print the answer as JSON.

Exit codes: 0 done, 1 refused or failed, 2 usage error, 3 outcome unknown.

Examples:
  jackdawdeck profile put orders examples/orders.toml
  jackdawdeck config load examples/umurimo.configuration.json
  jackdawdeck zone out gasabo --author=kim
  jackdawdeck timeline --endpoint=records/3 --format=trace > trace.json
)";

}  // namespace jd
