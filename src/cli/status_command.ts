/**
 * Command `foxtailrail status`.
 *
 * @module
 */

import { Command } from "clipanion";
import type { OperatorClient } from "./operator_client.js";
import { ExitCode, OperatorCommand } from "./operator_command.js";
import { formatTable } from "./table.js";

/** Milliseconds in a day. */
const MS_PER_DAY = 86_400_000;

/** Days before the expiry of the certificate from which a warning is printed. */
const RENEWAL_WARNING_DAYS = 14;

/** Shows a daemon's state, its backend servers, the members and the limits. */
export class StatusCommand extends OperatorCommand {
    static override paths = [["status"]];
    static override usage = Command.Usage({
        category: "Daemons",
        description: "Shows a daemon's state, its backend servers, and the usage of each limit.",
        examples: [["Show one daemon", "foxtailrail status --address 127.0.0.1:7102 --key-file operator.key"]],
    });

    protected override async run(client: OperatorClient): Promise<ExitCode> {
        const status = await client.readStatus();
        const servers = status.backendServers.map(server => [
            server.id,
            server.pool,
            server.failureDomain,
            server.state,
            server.version || "-",
            String(server.outstanding),
            server.reportAgeMs < 0 ? "none" : `${server.reportAgeMs} ms`,
        ]);
        const members = status.members.map(member => [
            member.id,
            member.failureDomain,
            member.state,
            member.address,
            member.life === 0 ? "-" : `${new Date(member.life).toISOString()} / ${member.incarnation}`,
        ]);
        const limits = status.limits.map(limit => [limit.name, String(limit.value), String(limit.limit)]);
        const text = [
            `Node ${status.node} in ${status.failureDomain}: ${status.ready ? "ready" : "not ready"}, `,
            `configuration ${status.configurationVersion}\n`,
            `${describeCertificate(status.certificateExpiresAtMs)}\n\n`,
            formatTable(["BACKEND SERVER", "POOL", "DOMAIN", "STATE", "VERSION", "OUTSTANDING", "REPORT AGE"], servers),
            `\n${formatTable(["ENTRY VM", "DOMAIN", "STATE", "ADDRESS", "STARTED / INCARNATION"], members)}`,
            `\n${formatTable(["LIMIT", "USED", "ALLOWED"], limits)}`,
        ];
        this.print(status, text.join(""));
        return ExitCode.Success;
    }
}

/** Describes the expiry of the certificate for peers, with a warning if renewal is due. */
function describeCertificate(expiresAtMs: number): string {
    if (expiresAtMs === 0) {
        return "Connections between peers are not encrypted, as set by tls.plainText.";
    }
    const daysLeft = Math.floor((expiresAtMs - Date.now()) / MS_PER_DAY);
    const warning = daysLeft < RENEWAL_WARNING_DAYS ? " RENEW IT NOW." : "";
    return `The certificate for peers expires at ${new Date(expiresAtMs).toISOString()}, in ${daysLeft} days.${warning}`;
}
