/**
 * Routing of claim entries to the log, through the combiner of their stream or directly.
 *
 * @module
 */

import { type ClaimClient, ClaimPeerError, claimWire, type LiveMember, type MemberView } from "../../protocol/mod.js";
import type { Clock } from "../../state/mod.js";
import { createVerdict } from "./claim_index.js";
import type { ClaimStreams } from "./claim_streams.js";
import { rankMembers } from "./rendezvous.js";

/** Maximum time to wait for a combiner, in milliseconds. */
const COMBINER_TIMEOUT_MS = 400;

/** Time for which a combiner that did not answer is skipped, in milliseconds. */
const SUSPICION_DURATION_MS = 5_000;

/** Maximum number of combiners tried before the node appends the entry itself. */
const MAX_COMBINER_ATTEMPTS = 2;

/** Maximum number of suspected combiners in memory; all suspicions are cleared when it is reached. */
const MAX_SUSPECTS = 1_000;

const { ClaimVerdictKind } = claimWire;

/** Settings of a {@linkcode ClaimRouter}. */
export interface ClaimRouterSettings {
    /** Id of this node. */
    readonly node: string;
    readonly clock: Clock;
    readonly members: MemberView;
    readonly client: ClaimClient;
    readonly streams: ClaimStreams;
}

/**
 * Sends each entry to the combiner of its stream, the member that batches the entries of all nodes into fewer appends.
 *
 * Correctness does not depend on the combiner: a node with a stale member list uses another one, or appends the entry itself, and
 * the log yields the same verdict.
 */
export class ClaimRouter {
    private readonly suspectUntilMs = new Map<string, number>();

    /** @param settings See {@linkcode ClaimRouterSettings}. */
    constructor(private readonly settings: ClaimRouterSettings) {}

    /**
     * Commits an entry to the log and returns its verdict, which also says why an entry could not be committed.
     *
     * @param stream Stream of the entry's key.
     * @param entry Entry to commit.
     * @param untilMs Time at which the wait ends, in milliseconds since the Unix epoch.
     */
    async commit(stream: string, entry: claimWire.ClaimEntry, untilMs: number): Promise<claimWire.ClaimVerdict> {
        let mayBeAppended = false;
        for (const combiner of this.selectCombiners(stream)) {
            if (combiner.id === this.settings.node) {
                break;
            }
            const verdict = await this.askCombiner(combiner, { stream, entry, waitMs: 0 }, untilMs);
            if (isFinal(verdict)) {
                return verdict;
            }
            mayBeAppended ||= verdict.kind !== ClaimVerdictKind.CLAIM_VERDICT_KIND_NOT_APPENDED;
        }
        const verdict = await this.settings.streams.open(stream).submit(entry, untilMs);
        if (mayBeAppended && verdict.kind === ClaimVerdictKind.CLAIM_VERDICT_KIND_NOT_APPENDED) {
            return createVerdict(ClaimVerdictKind.CLAIM_VERDICT_KIND_FATE_UNKNOWN);
        }
        return verdict;
    }

    private selectCombiners(stream: string): readonly LiveMember[] {
        const nowMs = this.settings.clock.now();
        const candidates = this.settings.members.live.filter(({ id }) => (this.suspectUntilMs.get(id) ?? 0) <= nowMs);
        return rankMembers(stream, candidates).slice(0, MAX_COMBINER_ATTEMPTS);
    }

    private async askCombiner(
        combiner: LiveMember,
        request: claimWire.CommitClaimRequest,
        untilMs: number,
    ): Promise<claimWire.ClaimVerdict> {
        const timeoutMs = Math.min(COMBINER_TIMEOUT_MS, untilMs - this.settings.clock.now());
        if (timeoutMs < 1) {
            return createVerdict(ClaimVerdictKind.CLAIM_VERDICT_KIND_NOT_APPENDED);
        }
        // The combiner times out first, so that its reply still states whether the entry was appended.
        const waitMs = Math.floor(timeoutMs / 2);
        try {
            const verdict = await this.settings.client.commit(combiner.address, { ...request, waitMs }, timeoutMs);
            if (!isFinal(verdict)) {
                this.markSuspect(combiner);
            }
            return verdict;
        }
        catch (error) {
            if (!(error instanceof ClaimPeerError)) {
                throw error;
            }
            this.markSuspect(combiner);
            return createVerdict(
                error.sent ?
                    ClaimVerdictKind.CLAIM_VERDICT_KIND_FATE_UNKNOWN :
                    ClaimVerdictKind.CLAIM_VERDICT_KIND_NOT_APPENDED,
            );
        }
    }

    private markSuspect({ id }: LiveMember): void {
        if (this.suspectUntilMs.size >= MAX_SUSPECTS) {
            this.suspectUntilMs.clear();
        }
        this.suspectUntilMs.set(id, this.settings.clock.now() + SUSPICION_DURATION_MS);
    }
}

function isFinal({ kind }: claimWire.ClaimVerdict): boolean {
    return kind !== ClaimVerdictKind.CLAIM_VERDICT_KIND_NOT_APPENDED && kind !== ClaimVerdictKind.CLAIM_VERDICT_KIND_FATE_UNKNOWN;
}
