/**
 * Base classes of the commands that read or change the configuration.
 *
 * @module
 */

import { Option } from "clipanion";
import { randomUUID } from "node:crypto";
import { configurationWire } from "../protocol/mod.js";
import { type ConfigurationDocument, type ItemChange } from "../state/mod.js";
import { type OperatorClient, OperatorError } from "./operator_client.js";
import { ExitCode, OperatorCommand } from "./operator_command.js";

/** Exit code of each unsuccessful outcome. */
const EXIT_CODE_BY_OUTCOME: ReadonlyMap<configurationWire.ChangeOutcome, ExitCode> = new Map([
    [configurationWire.ChangeOutcome.CHANGE_OUTCOME_INVALID, ExitCode.Refused],
    [configurationWire.ChangeOutcome.CHANGE_OUTCOME_CONFLICT, ExitCode.Conflict],
    [configurationWire.ChangeOutcome.CHANGE_OUTCOME_UNKNOWN, ExitCode.OutcomeUnknown],
]);

/** Published configuration, read from a daemon. */
export interface CurrentConfiguration {
    readonly version: number;
    readonly document: ConfigurationDocument;
    /** Clock of the daemon, in milliseconds since the Unix epoch. */
    readonly nowMs: number;
}

/** Command that reads the configuration. */
export abstract class ConfigurationCommand extends OperatorCommand {
    /** Reads the published configuration. */
    protected async readCurrent(client: OperatorClient): Promise<CurrentConfiguration> {
        const { version, document, wallMs } = await client.readConfiguration();
        return { version, document: JSON.parse(document) as ConfigurationDocument, nowMs: wallMs };
    }
}

/** Command that changes the configuration. */
export abstract class ConfigurationChangeCommand extends ConfigurationCommand {
    changeId = Option.String("--change-id", {
        description:
            "Id of the change. Pass the id of an earlier attempt to query its outcome; a change is applied at most once.",
    });

    /**
     * Submits changes and prints the outcome.
     *
     * @param client Connection to the daemon.
     * @param madeAgainst Version that the changes are based on.
     * @param changes Changes, applied atomically.
     */
    protected async submit(client: OperatorClient, madeAgainst: number, changes: readonly ItemChange[]): Promise<ExitCode> {
        if (changes.length === 0) {
            this.print({ version: madeAgainst, changes: 0 }, "No change.\n");
            return ExitCode.Success;
        }
        const id = this.changeId ?? randomUUID();
        const reply = await this.requestChange(client, { id, madeAgainst, changes: JSON.stringify(changes) });
        const exitCode = EXIT_CODE_BY_OUTCOME.get(reply.outcome);
        if (exitCode === undefined) {
            this.print({ version: reply.version, id }, `Version ${reply.version} is in the log and in force on this node.\n`);
            return ExitCode.Success;
        }
        this.reportRefusal(id, reply);
        return exitCode;
    }

    private async requestChange(
        client: OperatorClient,
        request: configurationWire.ChangeConfigurationRequest,
    ): Promise<configurationWire.ChangeConfigurationReply> {
        try {
            return await client.changeConfiguration(request);
        }
        catch (error) {
            if (error instanceof OperatorError && !error.isUnauthenticated) {
                this.context.stderr.write(
                    `The change may have been applied; query its outcome with --change-id ${request.id}.\n`,
                );
            }
            throw error;
        }
    }

    private reportRefusal(id: string, { problems, others, version }: configurationWire.ChangeConfigurationReply): void {
        if (this.json) {
            this.context.stdout.write(`${JSON.stringify({ id, version, problems, others })}\n`);
            return;
        }
        const lines = [`Cannot change the configuration: ${problems.join("\n  ")}`];
        if (others.length > 0) {
            lines.push("Changes by others in the meantime:", ...others.map(line => `  ${line}`));
        }
        this.context.stderr.write(`${lines.join("\n")}\n`);
    }
}
