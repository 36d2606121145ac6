/**
 * Configuration services for peers and for operators.
 *
 * @module
 */

import { ChangeOutcome, type ChangeResult, type ConfigurationProposal } from "../coordination/mod.js";
import {
    ConfigurationOperatorHandler,
    ConfigurationPeerHandler,
    configurationWire,
    Executed,
    PlatformError,
} from "../protocol/mod.js";
import type { EntryNode } from "./entry_node.js";

/** Wire values of the change outcomes. */
const WIRE_OUTCOMES: Readonly<Record<ChangeOutcome, configurationWire.ChangeOutcome>> = {
    [ChangeOutcome.Accepted]: configurationWire.ChangeOutcome.CHANGE_OUTCOME_ACCEPTED,
    [ChangeOutcome.Invalid]: configurationWire.ChangeOutcome.CHANGE_OUTCOME_INVALID,
    [ChangeOutcome.Conflict]: configurationWire.ChangeOutcome.CHANGE_OUTCOME_CONFLICT,
    [ChangeOutcome.Unknown]: configurationWire.ChangeOutcome.CHANGE_OUTCOME_UNKNOWN,
};

/** Serves copies of configuration records to peers that cannot read the log. */
export class ConfigurationPeerService extends ConfigurationPeerHandler {
    /** @param node Node whose records are served. */
    constructor(private readonly node: EntryNode) {
        super();
    }

    override async fetchConfiguration(
        request: configurationWire.FetchConfigurationRequest,
    ): Promise<configurationWire.FetchConfigurationReply> {
        return this.node.configurationFollower.replyToPeer(request);
    }
}

/** Lets operators read and change the configuration. */
export class ConfigurationOperatorService extends ConfigurationOperatorHandler {
    /** @param node Node whose configuration is served. */
    constructor(private readonly node: EntryNode) {
        super();
    }

    override async readConfiguration(): Promise<configurationWire.ReadConfigurationReply> {
        const { view, settings: { clock } } = this.node;
        const { version, document } = view.published;
        return { version, document: JSON.stringify(document), wallMs: Math.floor(clock.now()) };
    }

    override async changeConfiguration(
        request: configurationWire.ChangeConfigurationRequest,
        operator: string,
    ): Promise<configurationWire.ChangeConfigurationReply> {
        const { id, madeAgainst } = request;
        if (id === "") {
            return this.toReply(this.toInvalidResult('Field "id" is missing; give an id of your own, such as a UUID.'));
        }
        const changes = parseChanges(request.changes);
        return this.toReply(await this.change({ id, madeAgainst, author: operator, changes }));
    }

    private async change(proposal: ConfigurationProposal): Promise<ChangeResult> {
        try {
            return await this.node.configurationFollower.propose(proposal);
        }
        catch (error) {
            if (!(error instanceof PlatformError)) {
                throw error;
            }
            const advice = error.executed === Executed.No ?
                "Nothing was appended; make the change again." :
                `It may land yet; ask again with id ${proposal.id}, which never applies it twice.`;
            const { version } = this.node.view.published;
            return { outcome: ChangeOutcome.Unknown, version, problems: [`${error.message}. ${advice}`], others: [] };
        }
    }

    private toInvalidResult(problem: string): ChangeResult {
        return { outcome: ChangeOutcome.Invalid, version: this.node.view.published.version, problems: [problem], others: [] };
    }

    private toReply(result: ChangeResult): configurationWire.ChangeConfigurationReply {
        const { outcome, version, problems, others } = result;
        return { outcome: WIRE_OUTCOMES[outcome], version, problems: [...problems], others: [...others] };
    }
}

/** Parses JSON; returns `undefined` for malformed text, which is then rejected as an invalid proposal. */
function parseChanges(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}
