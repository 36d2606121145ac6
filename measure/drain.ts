/**
 * Experiment: rolling restart of all daemons under load.
 *
 * @module
 */

import { request } from "undici";
import { readDeployment } from "../standin/deployment.js";
import { expectedAnswer } from "../standin/engine_model.js";
import { type FleetDaemon, LocalFleet } from "../standin/local_fleet.js";
import { answerText } from "../standin/sample.js";
import type { Experiment, Report } from "./experiment.js";

/** Number of concurrent callers; each sends its calls one after the other. */
const CALLER_COUNT = 24;

/** Maximum number of tokens in a model answer. */
const MAX_ANSWER_TOKENS = 120;

/** Interval between readiness checks of the load balancer, in milliseconds. */
const READINESS_POLL_INTERVAL_MS = 50;

/** Duration of the load before the first restart and after the last, in milliseconds. */
const SETTLE_MS = 1_000;

/** Deployment file of the fleet. */
const DEPLOYMENT_FILE = "examples/rastro-sul.yaml";

/** Counts over all callers. */
interface CallTally {
    sent: number;
    /** Calls with a complete answer. */
    whole: number;
    /** Answers that were truncated, wrong, or lost with their connection. */
    cut: number;
    /** Calls refused with `executed: "no"`; the caller can retry them safely. */
    refusedNotRun: number;
    /** Calls refused with any other value of `executed`. */
    refusedOtherwise: number;
    /** Refused connections; the load balancer had not yet detected that the daemon was stopping. */
    notConnected: number;
}

/** Model of the platform's load balancer: round robin over the daemons that were ready at the last check. */
class LoadBalancer {
    private ready: readonly FleetDaemon[];
    private callCount = 0;

    constructor(private readonly daemons: readonly FleetDaemon[]) {
        this.ready = daemons;
    }

    /** Polls the readiness of all daemons until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            const ready = await Promise.all(this.daemons.map(isReady));
            this.ready = this.daemons.filter((daemon, index) => ready[index]);
            await sleep(READINESS_POLL_INTERVAL_MS);
        }
    }

    /** Returns the daemon for the next call. */
    nextDaemon(): FleetDaemon {
        this.callCount += 1;
        return this.ready[this.callCount % this.ready.length];
    }
}

/** Compares a rolling restart that drains each daemon (SIGTERM) with a baseline that kills it (SIGKILL). */
export const drainExperiment: Experiment = {
    name: "drain",
    summary: "rolling restart under load: no answer truncated, no call lost or executed twice",
    run: async seed => {
        const baseline = await runRollingRestart("SIGKILL");
        const current = await runRollingRestart("SIGTERM");
        return toReport(seed, baseline, current);
    },
};

/** Result of one rolling restart. */
interface RestartResult {
    readonly tally: CallTally;
    /** Largest number of side effects of one idempotency key. */
    readonly maxEffects: number;
    /** Run-once calls that were answered successfully but had no side effect. */
    readonly lostEffects: number;
    /** Number of restarted daemons whose exit code was not 0. */
    readonly badExits: number;
}

async function runRollingRestart(signal: NodeJS.Signals): Promise<RestartResult> {
    const deployment = await readDeployment(DEPLOYMENT_FILE);
    const fleet = new LocalFleet({ deployment, operatorKey: "operator" });
    const stopped = new AbortController();
    const tally: CallTally = { sent: 0, whole: 0, cut: 0, refusedNotRun: 0, refusedOtherwise: 0, notConnected: 0 };
    const answeredKeys: string[] = [];
    let badExits = 0;
    try {
        await fleet.start();
        const balancer = new LoadBalancer(fleet.daemons);
        const tasks = [balancer.run(stopped.signal)];
        for (let index = 0; index < CALLER_COUNT; index++) {
            const { key } = deployment.workspaces[index % deployment.workspaces.length];
            tasks.push(
                runCaller({ name: `caller-${index}`, workspaceKey: key, balancer, tally, answeredKeys, signal: stopped.signal }),
            );
        }
        await sleep(SETTLE_MS);
        for (const daemon of fleet.daemons) {
            const code = await daemon.process.terminate(signal);
            badExits += code === 0 ? 0 : 1;
            await fleet.restart(daemon);
            await sleep(READINESS_POLL_INTERVAL_MS * 2);
        }
        await sleep(SETTLE_MS);
        stopped.abort();
        await Promise.all(tasks);
        const effects = await readEffects(fleet);
        const lostEffects = answeredKeys.filter(key => (effects.get(key) ?? 0) === 0).length;
        return { tally, badExits, lostEffects, maxEffects: Math.max(0, ...effects.values()) };
    }
    finally {
        stopped.abort();
        await fleet.stop();
    }
}

/** Settings of one caller, which sends calls until the signal is aborted. */
interface Caller {
    readonly name: string;
    readonly workspaceKey: string;
    readonly balancer: LoadBalancer;
    readonly tally: CallTally;
    /** Idempotency keys of the run-once calls that were answered successfully. */
    readonly answeredKeys: string[];
    readonly signal: AbortSignal;
}

async function runCaller(caller: Caller): Promise<void> {
    for (let count = 0; !caller.signal.aborted; count++) {
        const key = `${caller.name}-${count}`;
        const isServiceCall = count % 3 === 2;
        caller.tally.sent += 1;
        try {
            await (isServiceCall ? sendServiceCall(caller, key) : sendChat(caller, key));
        }
        catch (error) {
            const code = (error as { readonly code?: string }).code;
            if (code === "ECONNREFUSED") {
                caller.tally.notConnected += 1;
            }
            else {
                caller.tally.cut += 1;
            }
        }
    }
}

async function sendChat(caller: Caller, key: string): Promise<void> {
    const messages = [{ role: "user", content: `Summarise dossier ${key}.` }];
    const body = Buffer.from(JSON.stringify({ model: "default", stream: true, max_tokens: MAX_ANSWER_TOKENS, messages }));
    const response = await request(`http://${caller.balancer.nextDaemon().callerAddress}/v1/chat/completions`, {
        method: "POST",
        headers: {
            authorization: `Bearer ${caller.workspaceKey}`,
            "content-type": "application/json",
            "foxtailrail-operation": "dossier-summary",
        },
        body,
    });
    const text = await response.body.text();
    if (response.statusCode !== 200) {
        countRefusal(caller.tally, text);
        return;
    }
    if (answerText(text, "streamed") === expectedAnswer(body)) {
        caller.tally.whole += 1;
        return;
    }
    caller.tally.cut += 1;
}

async function sendServiceCall(caller: Caller, key: string): Promise<void> {
    const response = await request(`http://${caller.balancer.nextDaemon().callerAddress}/v1/services/case-management/claims`, {
        method: "POST",
        headers: { authorization: `Bearer ${caller.workspaceKey}`, "content-type": "application/json", "idempotency-key": key },
        body: JSON.stringify({ claim: key }),
    });
    const text = await response.body.text();
    if (response.statusCode !== 200) {
        countRefusal(caller.tally, text);
        return;
    }
    caller.answeredKeys.push(key);
    caller.tally.whole += 1;
}

function countRefusal(tally: CallTally, text: string): void {
    if ((JSON.parse(text) as { readonly executed?: string }).executed === "no") {
        tally.refusedNotRun += 1;
        return;
    }
    tally.refusedOtherwise += 1;
}

async function readEffects(fleet: LocalFleet): Promise<ReadonlyMap<string, number>> {
    const effects = new Map<string, number>();
    for (const backend of fleet.backends) {
        if (backend.vm.pool !== "case-management") {
            continue;
        }
        const response = await request(`http://${backend.vm.address}/effects`);
        const { counts } = await response.body.json() as { readonly counts: Readonly<Record<string, number>> };
        for (const [key, count] of Object.entries(counts)) {
            effects.set(key, (effects.get(key) ?? 0) + count);
        }
    }
    return effects;
}

function toReport(seed: number, baseline: RestartResult, current: RestartResult): Report {
    return {
        scenario: "drain",
        seed,
        baseline: { way: "SIGKILL", ...toFigures(baseline) },
        current: { way: "SIGTERM", ...toFigures(current) },
        targets: [
            { name: "answers cut", measured: current.tally.cut, comparison: "at most", bound: 0 },
            {
                name: "calls lost: refused, not connected, or answered without effect",
                measured: current.tally.refusedNotRun + current.tally.refusedOtherwise + current.tally.notConnected +
                    current.lostEffects,
                comparison: "at most",
                bound: 0,
            },
            { name: "largest number of effects of one key", measured: current.maxEffects, comparison: "at most", bound: 1 },
            { name: "daemons that did not exit with 0", measured: current.badExits, comparison: "at most", bound: 0 },
            { name: "calls sent", measured: current.tally.sent, comparison: "at least", bound: 1 },
        ],
    };
}

function toFigures(result: RestartResult): Readonly<Record<string, number>> {
    const { tally, maxEffects, lostEffects, badExits } = result;
    return { ...tally, maxEffects, lostEffects, badExits };
}

async function isReady(daemon: FleetDaemon): Promise<boolean> {
    try {
        const response = await request(`http://${daemon.callerAddress}/readyz`);
        await response.body.dump();
        return response.statusCode === 200;
    }
    catch {
        return false;
    }
}

function sleep(durationMs: number): Promise<void> {
    return new Promise(resolve => {
        setTimeout(resolve, durationMs);
    });
}
