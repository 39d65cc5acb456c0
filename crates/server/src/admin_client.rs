//! `umberloom fleet …`: questions to a server about its fleet, over the fleet's own port and reading only.

mod record;

use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bpaf::{construct, long, positional, Parser};
use umberloom_membership::wire::Key;
use umberloom_membership::{Evidence, MemberView};
use umberloom_operator_config::Fleet;

use crate::lifecycle::load_operator;
use crate::wire::fleet::{
    encode_frame, parse_header, FleetReply, FleetRequest, FleetRequestKind, FleetResponse, FleetView,
    FrameKind, HEADER_BYTES,
};

/// How long an answer may take.
const PATIENCE: Duration = Duration::from_secs(5);

/// What the command line asks for.
#[derive(Clone, Debug)]
pub struct Options {
    operator: PathBuf,
    at: Option<SocketAddr>,
    json: bool,
    about: About,
}

#[derive(Clone, Debug)]
enum About {
    Members,
    Explain(String),
    Record(record::About),
}

/// The words after `fleet`.
pub fn command_line() -> impl Parser<Options> {
    let told = || {
        let operator = long("operator")
            .help("The operator's file that names the fleet and its secret")
            .argument::<PathBuf>("FILE");
        let at = long("at")
            .help("The fleet's address of the server to ask; unless given, that in the file")
            .argument::<SocketAddr>("ADDRESS")
            .optional();
        let json = long("json").help("One JSON document instead of a table").switch();
        (operator, at, json)
    };
    let (operator, at, json) = told();
    let members = construct!(operator, at, json)
        .map(|(operator, at, json)| Options { operator, at, json, about: About::Members })
        .to_options()
        .descr("Who is there, as one server has it")
        .command("members");
    let (operator, at, json) = told();
    let name = positional::<String>("NAME").help("A member; the server's own name explains its standing");
    let explain = construct!(operator, at, json, name)
        .map(|(operator, at, json, name)| Options { operator, at, json, about: About::Explain(name) })
        .to_options()
        .descr("Why one server holds a member for what it does: evidence with its age")
        .command("explain");
    let (operator, at, json) = told();
    let about = record::command_line();
    let kept = construct!(operator, at, json, about)
        .map(|(operator, at, json, about)| Options { operator, at, json, about: About::Record(about) })
        .to_options()
        .descr("What the servers keep together: its standing, documents and history")
        .command("record");
    construct!([members, explain, kept])
}

/// Asks and prints.
pub fn ask(options: &Options) -> Result<(), String> {
    if let About::Record(record::About::Verify(file)) = &options.about {
        let text = record::verify(file, options.json)?;
        let _ = writeln!(std::io::stdout(), "{}", text.trim_end());
        return Ok(());
    }
    let file = options.operator.display();
    let operator = load_operator(&options.operator, None)?;
    let fleet =
        operator.fleet.ok_or_else(|| format!("{file}: found no fleet, expected the node \"fleet\""))?;
    let at = options.at.unwrap_or(fleet.listen);
    let what = match &options.about {
        About::Members => FleetRequestKind::Members,
        About::Explain(name) => FleetRequestKind::Explain(name.clone()),
        About::Record(about) => {
            let text = record::run(&fleet, at, about, options.json)?;
            let _ = writeln!(std::io::stdout(), "{}", text.trim_end());
            return Ok(());
        }
    };
    let reply = question(&fleet, at, what)?;
    let json = |value: Result<String, serde_json::Error>| value.map_err(|e| e.to_string());
    let text = match &reply {
        FleetReply::Members(view) if options.json => json(serde_json::to_string_pretty(view))?,
        FleetReply::Explain(evidence) if options.json => json(serde_json::to_string_pretty(evidence))?,
        FleetReply::Members(view) => table(view),
        FleetReply::Explain(evidence) => reasons(evidence),
        FleetReply::Store(_) => return Err(format!("{at}: an answer to something else")),
        FleetReply::UnknownMember(names) => {
            return Err(format!("{at} knows no such member, it knows: {}", names.join(", ")));
        }
    };
    // A reader that has closed its end wants no more.
    let _ = writeln!(std::io::stdout(), "{}", text.trim_end());
    Ok(())
}

fn question(fleet: &Fleet, at: SocketAddr, what: FleetRequestKind) -> Result<FleetReply, String> {
    let key = Key::new(&fleet.membership.fleet, &fleet.membership.secret);
    let fail = |e: std::io::Error| format!("{at}: {e}; is it the fleet's address of a server that runs?");
    let mut stream = TcpStream::connect_timeout(&at, PATIENCE).map_err(fail)?;
    stream.set_read_timeout(Some(PATIENCE)).map_err(fail)?;
    stream.set_write_timeout(Some(PATIENCE)).map_err(fail)?;
    // Drawn by the time: it only has to differ from that of an answer to someone else.
    let number = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_nanos() as u64);
    let sealed = key.seal(&FleetRequest { number, kind: what });
    stream.write_all(&encode_frame(FrameKind::Request, &sealed)).map_err(fail)?;
    let end = Instant::now() + PATIENCE;
    while Instant::now() < end {
        let mut start = [0; HEADER_BYTES];
        stream.read_exact(&mut start).map_err(|e| {
            format!("{at}: no answer ({e}); a server of another fleet, or with another secret, gives none")
        })?;
        let (kind, length) = parse_header(start).ok_or_else(|| format!("{at}: what it says is no frame"))?;
        let mut content = vec![0; length];
        stream.read_exact(&mut content).map_err(fail)?;
        match key.open::<FleetResponse>(&content, content.len()) {
            Ok(answer) if kind == FrameKind::Response && answer.number == number => return Ok(answer.reply),
            Ok(_) => {}
            Err(why) => return Err(format!("{at}: an answer that can't be believed ({why:?})")),
        }
    }
    Err(format!("{at}: no answer within {} s", PATIENCE.as_secs()))
}

fn age(ms: Option<u64>) -> String {
    match ms {
        None => "-".to_owned(),
        Some(ms) if ms < 10_000 => format!("{ms} ms"),
        Some(ms) => format!("{} s", ms / 1_000),
    }
}

/// Lines whose columns begin below each other.
fn columns(rows: &[Vec<String>]) -> String {
    let width =
        |column: usize| rows.iter().filter_map(|row| row.get(column)).map(|c| c.chars().count()).max();
    let mut out = String::new();
    for row in rows {
        let mut line = String::new();
        for (column, cell) in row.iter().enumerate() {
            let _ = write!(line, "{cell:<width$}  ", width = width(column).unwrap_or(0));
        }
        out.push_str(line.trim_end());
        out.push('\n');
    }
    out
}

fn row(member: &MemberView) -> Vec<String> {
    let about = &member.about;
    let says = member.says.map_or_else(
        || "-".to_owned(),
        |(standing, load, sick)| format!("{standing}, load {load} %, sick {sick}"),
    );
    let state = if member.named { member.state.to_string() } else { format!("{} (guest)", member.state) };
    vec![
        member.name.to_string(),
        about.zone.clone(),
        state,
        age(Some(member.for_ms)),
        if member.reached { "yes" } else { "no" }.to_owned(),
        age(member.heard_ms),
        age(member.hears_us_ms),
        says,
        about.program.clone(),
        format!("{:08x}", about.config >> 32),
        format!("{:08x}", about.operator >> 32),
    ]
}

fn table(view: &FleetView) -> String {
    let FleetView { name, standing, sick, silenced, members, allowances, disagreements, counts, .. } = view;
    let silent = if *silenced { ", silent: another process has its name" } else { "" };
    let mut out = format!("{name} stands as {standing}, sick {sick} of 8{silent}\n");
    let head = [
        "member", "zone", "held for", "since", "reached", "heard", "hears us", "says", "program", "config",
        "operator",
    ];
    let mut rows = vec![head.map(str::to_owned).to_vec()];
    rows.extend(members.iter().map(row));
    out.push_str(&columns(&rows));
    for (dependency, a) in allowances {
        let quiet =
            if a.quiet_ms > 0 { format!(", part changes in {} ms", a.quiet_ms) } else { String::new() };
        let _ = writeln!(
            out,
            "{dependency}: part {} of {}, lent {}, borrowed {}, used {}, waiting {}, last moved by {:?}{quiet}",
            a.part, a.whole, a.lent, a.borrowed, a.used, a.waiting, a.moved.0
        );
    }
    for (with, lines) in disagreements {
        let _ = writeln!(out, "views differ from that of {with}: {}", lines.join("; "));
    }
    let refused: Vec<String> = counts.refused.iter().map(|(why, n)| format!("{why:?} {n}")).collect();
    if !refused.is_empty() {
        let _ = writeln!(out, "not believed: {}", refused.join(", "));
    }
    out
}

fn reasons(evidence: &[Evidence]) -> String {
    let row = |e: &Evidence| vec![age(e.age_ms), e.what.clone()];
    let mut rows = vec![vec!["ago".to_owned(), "evidence".to_owned()]];
    rows.extend(evidence.iter().map(row));
    columns(&rows)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn columns_begin_below_each_other() {
        let rows = [vec!["a".to_owned(), "b".to_owned()], vec!["long".to_owned(), "c".to_owned()]];
        assert_eq!(columns(&rows), "a     b\nlong  c\n");
        assert_eq!(
            (age(None), age(Some(9_999)), age(Some(61_000))),
            ("-".into(), "9999 ms".into(), "61 s".into())
        );
    }
}
