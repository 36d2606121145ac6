/**
 * Proposal of configuration changes by operators.
 *
 * @module
 */

import {
    applyAndCheck,
    checkChanges,
    CONFIGURATION_STREAM,
    type ConfigurationRecord,
    encodeConfigurationRecord,
    Executed,
    type LogService,
    MAX_CONFIGURATION_RECORD_BYTES,
    PlatformError,
} from "../../protocol/mod.js";
import { type Clock, type ConfigurationView, type ItemChange, ItemList } from "../../state/mod.js";
import { ChangeOutcome, type ChangeResult, type RecordOutcome } from "./change_outcome.js";
import type { ConfigurationStateMachine } from "./configuration_state_machine.js";

/** Maximum number of append attempts for one change. */
const MAX_APPEND_ATTEMPTS = 3;

/** Time to wait for a record after a failed append, which may have succeeded, before the append is retried, in milliseconds. */
const LOST_REPLY_READ_BACK_TIMEOUT_MS = 1_500;

/** Maximum time to wait until an appended change is read back, in milliseconds. */
const READ_BACK_TIMEOUT_MS = 8_000;

/** Configuration change proposed by an operator. */
export interface ConfigurationProposal {
    /** Id chosen by the operator's client; a retry of the proposal uses the same id. */
    readonly id: string;
    /** Version that the changes are based on. */
    readonly madeAgainst: number;
    /** Name of the operator, as identified by the operator key. */
    readonly author: string;
    /** Parsed changes, not yet validated. */
    readonly changes: unknown;
}

/** Settings of a {@linkcode ConfigurationProposer}. */
export interface ConfigurationProposerSettings {
    readonly clock: Clock;
    readonly log: LogService;
    readonly view: ConfigurationView;
    readonly stateMachine: ConfigurationStateMachine;
}

/**
 * Appends changes to the log and waits until they are read back.
 *
 * An append whose reply was lost is retried with the same id. That cannot apply the change twice: a record applies only to the exact
 * version that it is based on, and the first of the two records replaces that version. A change that is proposed again on a later
 * version is recognized by its id, which every node and every snapshot stores.
 */
export class ConfigurationProposer {
    /** @param settings See {@linkcode ConfigurationProposerSettings}. */
    constructor(private readonly settings: ConfigurationProposerSettings) {}

    /**
     * Validates a change, appends it to the log and waits for its outcome.
     *
     * @param proposal See {@linkcode ConfigurationProposal}.
     * @param signal Ends the wait when aborted.
     * @throws {PlatformError} When the log did not answer and the record was not read back.
     */
    async propose(proposal: ConfigurationProposal, signal: AbortSignal): Promise<ChangeResult> {
        const { stateMachine, view } = this.settings;
        const known = stateMachine.outcome(proposal.id);
        if (known !== undefined) {
            return this.toResult(known, proposal.madeAgainst);
        }
        const checked = checkChanges(this.stampExceptions(proposal));
        if (checked.problems !== undefined) {
            return this.toInvalidResult(checked.problems);
        }
        if (proposal.madeAgainst !== view.published.version) {
            return this.toConflictResult(proposal.madeAgainst);
        }
        const applied = applyAndCheck(view.published.document, checked.changes);
        if (applied.problems !== undefined) {
            return this.toInvalidResult(applied.problems);
        }
        return this.append(this.toRecord(proposal, checked.changes), signal);
    }

    private async append(record: ConfigurationRecord, signal: AbortSignal): Promise<ChangeResult> {
        const data = encodeConfigurationRecord(record);
        if (data.length > MAX_CONFIGURATION_RECORD_BYTES) {
            return this.toInvalidResult([
                `The changes have ${data.length} bytes; make them in parts of at most ${MAX_CONFIGURATION_RECORD_BYTES}.`,
            ]);
        }
        let failure: PlatformError | undefined;
        for (let attempt = 1; attempt <= MAX_APPEND_ATTEMPTS; attempt += 1) {
            const thrown = await this.tryAppend(data);
            const outcome = await this.awaitOutcome(
                record.id,
                thrown === undefined ? READ_BACK_TIMEOUT_MS : LOST_REPLY_READ_BACK_TIMEOUT_MS,
                signal,
            );
            if (outcome !== undefined) {
                return this.toResult(outcome, record.madeAgainst);
            }
            if (thrown === undefined) {
                return this.toUnknownResult(record);
            }
            failure = mayBeAppended(failure) ? failure : thrown;
        }
        throw failure;
    }

    private async tryAppend(data: Uint8Array): Promise<PlatformError | undefined> {
        try {
            await this.settings.log.append(CONFIGURATION_STREAM, data);
            return undefined;
        }
        catch (error) {
            if (error instanceof PlatformError) {
                return error;
            }
            throw error;
        }
    }

    private async awaitOutcome(id: string, timeoutMs: number, signal: AbortSignal): Promise<RecordOutcome | undefined> {
        const { clock, stateMachine } = this.settings;
        const ended = new AbortController();
        const stop = () => ended.abort();
        signal.addEventListener("abort", stop, { once: true });
        void clock.sleep(timeoutMs, ended.signal).then(stop);
        try {
            return await stateMachine.history.awaitOutcome(id, ended.signal);
        }
        finally {
            signal.removeEventListener("abort", stop);
            stop();
        }
    }

    /** Sets the author and the creation time of exceptions; values from the client are overwritten. */
    private stampExceptions({ changes, author }: ConfigurationProposal): unknown {
        if (!Array.isArray(changes)) {
            return changes;
        }
        const madeAtMs = Math.floor(this.settings.clock.now());
        return (changes as readonly Partial<ExceptionChange>[]).map(change => {
            const isException = change?.list === ItemList.Exceptions && typeof change.item === "object";
            return isException ? { ...change, item: { ...change.item, author, madeAtMs } } : change;
        });
    }

    private toRecord({ id, madeAgainst, author }: ConfigurationProposal, changes: readonly ItemChange[]): ConfigurationRecord {
        return { id, madeAgainst, author, atMs: Math.floor(this.settings.clock.now()), changes };
    }

    private toResult(outcome: RecordOutcome, madeAgainst: number): ChangeResult {
        return outcome.outcome === ChangeOutcome.Conflict ? this.toConflictResult(madeAgainst) : { ...outcome, others: [] };
    }

    private toInvalidResult(problems: readonly string[]): ChangeResult {
        return { outcome: ChangeOutcome.Invalid, version: this.settings.view.published.version, problems, others: [] };
    }

    private toConflictResult(madeAgainst: number): ChangeResult {
        const { view, stateMachine } = this.settings;
        const { version } = view.published;
        const problem = madeAgainst > version ?
            `The change was made against version ${madeAgainst}, but this node has only read up to version ${version}. Try again.` :
            `The change was made against version ${madeAgainst}, but another came first. Read version ${version} and change that.`;
        const others = stateMachine.history.descriptionsSince(madeAgainst) ??
            [`Version ${madeAgainst} is older than the changes that this node remembers; compare with config diff.`];
        return { outcome: ChangeOutcome.Conflict, version, problems: [problem], others };
    }

    private toUnknownResult({ id }: ConfigurationRecord): ChangeResult {
        const { version } = this.settings.view.published;
        const problem = `The change is in the log, but this node could not read it back. Ask again with id ${id}.`;
        return { outcome: ChangeOutcome.Unknown, version, problems: [problem], others: [] };
    }
}

/** Change of an exception as received from a client. */
interface ExceptionChange {
    readonly list: unknown;
    readonly item: object;
}

function mayBeAppended(failure: PlatformError | undefined): boolean {
    return failure?.executed === Executed.Unknown;
}
