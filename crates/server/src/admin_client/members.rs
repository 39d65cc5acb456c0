//! The commands `fleet members` and `fleet explain`.

use std::fmt::Write as _;

use umberloom_membership::{Evidence, MemberView};
use umberloom_quota::QuotaStatus;

use super::client::AdminClient;
use super::error::AdminError;
use super::table::{age, Table};
use crate::wire::fleet::{FleetReply, FleetRequestKind, FleetView};

/// Sends a request about members, and returns the text to print.
pub fn show(client: &AdminClient, request: FleetRequestKind, as_json: bool) -> Result<String, AdminError> {
    match client.request(request)? {
        FleetReply::Members(view) if as_json => Ok(serde_json::to_string_pretty(&view)?),
        FleetReply::Explain(evidence) if as_json => Ok(serde_json::to_string_pretty(&evidence)?),
        FleetReply::Members(view) => Ok(fleet_text(&view)),
        FleetReply::Explain(evidence) => Ok(evidence_text(&evidence)),
        FleetReply::Store(_) => Err(client.unexpected_response()),
        FleetReply::UnknownMember(known) => Err(AdminError::UnknownMember { server: client.server(), known }),
    }
}

fn fleet_text(view: &FleetView) -> String {
    let FleetView { name, standing, sick, silenced, members, allowances, disagreements, counts, .. } = view;
    let fenced = if *silenced { ", silent: another process has its name" } else { "" };
    let mut text = format!("{name} stands as {standing}, sick {sick} of 8{fenced}\n");
    let mut table = Table::with_headings([
        "member", "zone", "held for", "since", "reached", "heard", "hears us", "says", "program", "config",
        "operator",
    ]);
    table.extend(members.iter().map(member_row));
    text.push_str(&table.render());
    for (dependency, quota) in allowances {
        text.push_str(&quota_line(dependency, quota));
    }
    for (peer, differences) in disagreements {
        let _ = writeln!(text, "views differ from that of {peer}: {}", differences.join("; "));
    }
    let rejected: Vec<String> =
        counts.refused.iter().map(|(reason, count)| format!("{reason:?} {count}")).collect();
    if !rejected.is_empty() {
        let _ = writeln!(text, "not believed: {}", rejected.join(", "));
    }
    text
}

fn member_row(member: &MemberView) -> Vec<String> {
    let build_info = &member.about;
    let reported_status = member.says.map_or_else(
        || "-".to_owned(),
        |(standing, load, sick)| format!("{standing}, load {load} %, sick {sick}"),
    );
    let state = if member.named { member.state.to_string() } else { format!("{} (guest)", member.state) };
    let reached = if member.reached { "yes" } else { "no" };
    vec![
        member.name.to_string(),
        build_info.zone.clone(),
        state,
        age(Some(member.for_ms)),
        reached.to_owned(),
        age(member.heard_ms),
        age(member.hears_us_ms),
        reported_status,
        build_info.program.clone(),
        short_digest(build_info.config),
        short_digest(build_info.operator),
    ]
}

/// The high 32 bits of a digest, in hexadecimal digits.
fn short_digest(digest: u64) -> String {
    format!("{:08x}", digest >> 32)
}

fn quota_line(dependency: &str, quota: &QuotaStatus) -> String {
    let change =
        if quota.quiet_ms > 0 { format!(", part changes in {} ms", quota.quiet_ms) } else { String::new() };
    format!(
        "{dependency}: part {} of {}, lent {}, borrowed {}, used {}, waiting {}, last moved by {:?}{change}\n",
        quota.part, quota.whole, quota.lent, quota.borrowed, quota.used, quota.waiting, quota.moved.0
    )
}

fn evidence_text(evidence: &[Evidence]) -> String {
    let mut table = Table::with_headings(["ago", "evidence"]);
    table.extend(evidence.iter().map(|item| vec![age(item.age_ms), item.what.clone()]));
    table.render()
}
