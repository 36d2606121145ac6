/**
 * Execution of one case of the scheduling experiment with one scheduler.
 *
 * @module
 */

import { CallObserver, type CallTimings, type Scheduler } from "../src/coordination/mod.js";
import type { EntryNode } from "../src/daemon/mod.js";
import type { AcceptedCall } from "../src/protocol/mod.js";
import { PREFIX_BLOCK_TOKENS } from "../src/state/mod.js";
import type { Deployment } from "../standin/deployment.js";
import type { RetiredSequence } from "../standin/engine_model.js";
import { InProcessFleet, type RecordedAnswer } from "../standin/in_process_fleet.js";
import { DecisionHistory, RecordingScheduler } from "./decision_history.js";
import type { Arrival } from "./scheduling_workload.js";

/** Fault that is injected at a set time during a run. */
export interface TimedFault {
    readonly atMs: number;
    readonly apply: (fleet: InProcessFleet) => void;
}

/** Settings of a run. */
export interface RunSettings {
    readonly deployment: Deployment;
    readonly seed: number;
    readonly arrivals: readonly Arrival[];
    readonly faults: readonly TimedFault[];
    /** Creates the scheduler under test for a node. */
    readonly makeScheduler: (node: EntryNode) => Scheduler;
}

/** Outcome of one call. */
export interface CallOutcome {
    readonly arrival: Arrival;
    /** Whether the call was answered within its latency objectives. */
    readonly metObjective: boolean;
    readonly status: number;
    readonly firstTokenMs: number | undefined;
    /** Answer that the caller received. */
    readonly answer: RecordedAnswer;
    /** Whether the caller received the complete answer, in time or late. */
    readonly complete: boolean;
    /** Prompt tokens prefilled for the call, over all its dispatches. */
    readonly prefilledTokens: number;
    /** Prefilled prompt tokens that some engine had already prefilled before. */
    readonly repeatedTokens: number;
}

/** Result of a run. */
export interface RunResult {
    readonly outcomes: readonly CallOutcome[];
    readonly history: DecisionHistory;
    readonly fleet: InProcessFleet;
}

/** Runs one case until all calls have ended. */
export async function runCase(settings: RunSettings): Promise<RunResult> {
    const history = new DecisionHistory();
    const observer = new TimingsObserver();
    const fleet = new InProcessFleet({
        deployment: settings.deployment,
        seed: settings.seed,
        node: {
            observer,
            makeScheduler: node => {
                const scheduler = settings.makeScheduler(node);
                return new RecordingScheduler(node.settings.node, scheduler, node.settings.clock, history);
            },
        },
    });
    const prefill = new PrefillCounter(fleet);
    await fleet.start();
    const answers = await sendAll(fleet, settings);
    await fleet.clock.runUntil(Promise.all(answers.map(answer => answer.done)));
    // Engines retire a sequence one step after its caller has been answered.
    await fleet.clock.advance(1_000);
    await fleet.clock.runUntil(Promise.all(fleet.nodes.map(node => node.stop())));
    const outcomes = answers.map((answer, index) => ({
        arrival: settings.arrivals[index],
        answer,
        status: answer.writer.head?.status ?? 0,
        complete: answer.writer.ended && answer.writer.head?.status === 200,
        metObjective: observer.timings.get(answer.id)?.metObjectives ?? false,
        firstTokenMs: observer.timings.get(answer.id)?.firstTokenMs,
        prefilledTokens: prefill.prefilledTokens.get(answer.id) ?? 0,
        repeatedTokens: prefill.repeatedTokens.get(answer.id) ?? 0,
    }));
    return { outcomes, history, fleet };
}

async function sendAll(fleet: InProcessFleet, settings: RunSettings): Promise<readonly RecordedAnswer[]> {
    const startMs = fleet.clock.now();
    const faults = [...settings.faults];
    const answers: RecordedAnswer[] = [];
    for (const arrival of settings.arrivals) {
        while (faults.length > 0 && faults[0].atMs <= arrival.atMs) {
            const [fault] = faults.splice(0, 1);
            await fleet.clock.advance(Math.max(0, startMs + fault.atMs - fleet.clock.now()));
            fault.apply(fleet);
        }
        await fleet.clock.advance(Math.max(0, startMs + arrival.atMs - fleet.clock.now()));
        answers.push(fleet.send(fleet.nodes[arrival.node], {
            operationName: arrival.operation,
            bearerKey: settings.deployment.workspaces[arrival.workspace].key,
            body: arrival.body,
        }));
    }
    return answers;
}

/** Collects the timings of answered calls. */
class TimingsObserver extends CallObserver {
    readonly timings = new Map<string, CallTimings>();

    override recordAccepted(): void {
        // Only answered calls have timings.
    }

    override recordAnswered(call: AcceptedCall, timings: CallTimings): void {
        this.timings.set(call.incoming.id, timings);
    }

    override recordRefused(): void {
        // Refusals are counted by the status of the answer.
    }
}

/** Counts prefilled and repeatedly prefilled tokens by call id. */
class PrefillCounter {
    readonly prefilledTokens = new Map<string, number>();
    readonly repeatedTokens = new Map<string, number>();
    private readonly seenBlocks = new Set<string>();

    constructor(fleet: InProcessFleet) {
        for (const engine of fleet.engines.values()) {
            engine.onRetire = sequence => this.record(sequence);
        }
    }

    private record({ id, blocks, cachedTokens, prefilledTokens: prefilled }: RetiredSequence): void {
        this.prefilledTokens.set(id, (this.prefilledTokens.get(id) ?? 0) + prefilled);
        const first = cachedTokens / PREFIX_BLOCK_TOKENS;
        const after = (cachedTokens + prefilled) / PREFIX_BLOCK_TOKENS;
        let repeatedTokens = 0;
        for (let index = Math.ceil(first); index + 1 <= after && index < blocks.length; index++) {
            repeatedTokens += this.seenBlocks.has(blocks[index]) ? PREFIX_BLOCK_TOKENS : 0;
            this.seenBlocks.add(blocks[index]);
        }
        this.repeatedTokens.set(id, (this.repeatedTokens.get(id) ?? 0) + repeatedTokens);
    }
}
