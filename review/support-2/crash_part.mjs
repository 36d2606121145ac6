// A service of model engines that crash when they begin to write an answer on one part of a prompt, and its callers.

import { send } from "./caller.mjs";
import { HOST, isTroubled, KEY, makeConfiguration, outcomeOf, sleep, tally } from "./case.mjs";
import { Engine } from "./engine.mjs";
import { BOUNDS, Fleet, loopbackPrefix } from "./fleet.mjs";
import { Store } from "./store.mjs";

/** Nodes, and slots and queue of an engine, as on the sheet of a small deployment. */
const NODES = 3;
const SLOTS = 19;
const QUEUE = 114;

/** Time after which a crashed engine is back, in milliseconds. */
const BACK_MS = 3_000;

/** Time from the start of a call until the first event of its answer, in milliseconds; up to 40 more. */
const FIRST_EVENT_MS = 60;

/** Events of an answer, and the time between them, in milliseconds. */
const EVENTS = 60;
const EVENT_GAP_MS = 40;

/** Part that crashes engines, and the first part, which all calls share. */
const CRASHING_PART = "bad0bad0";
const SHARED_PART = "5a5a5a5a";

/** Plays the service and records what its callers and engines see. */
export class CrashPartStage {
    results = [];
    arrivals = [];
    crashes = [];
    #engines = [];
    #pending = [];
    #calls = 0;
    #isSoundRunning = false;

    /** @param settings `crashes`: whether the part crashes engines; `engines`; `soundPerSecond`: sound calls a second. */
    constructor({ note, started }, { crashes = true, engines = 6, soundPerSecond = 30 } = {}) {
        this.note = note;
        this.started = started;
        this.doesCrash = crashes;
        this.engineCount = engines;
        this.soundPerSecond = soundPerSecond;
    }

    async start() {
        const prefix = loopbackPrefix();
        const store = new Store();
        await store.start(`${prefix}.1`);
        this.started(store);
        for (let index = 1; index <= this.engineCount; index += 1) {
            const engine = new Engine({
                store,
                service: "llm",
                name: `engine-${index}`,
                host: `${prefix}.${100 + index}`,
                zone: `zone-${1 + index % NODES}`,
                version: "v1",
                slots: SLOTS,
                queue: QUEUE,
                onArrival: call => this.#recordArrival(call),
                plan: call => this.#plan(call),
            });
            await engine.start();
            this.started(engine);
            this.#engines.push(engine);
        }
        store.put(
            "keyed.op",
            "config",
            makeConfiguration(
                { Kind: "streaming", TimeoutMs: 12_000, TargetLatencyMs: 300, GapTargetMs: 300, MaxAttempts: 2, Sticky: true, Resumable: true },
                { Name: "llm", MaxConnections: 480, Engine: { Slots: SLOTS, KvCapacityTokens: 1_146_533 } },
            ),
        );
        this.fleet = new Fleet(store, prefix);
        this.started(this.fleet);
        await this.fleet.start(NODES);
        await sleep(1_500);
        this.#isSoundRunning = true;
        void this.#runSound();
    }

    /** Sends calls with the part that crashes engines, no two alike, at any node. */
    sendCrashing(count) {
        for (let index = 0; index < count; index += 1) {
            this.#calls += 1;
            this.#send("crashing", `${SHARED_PART}:60,${CRASHING_PART}:300,${(0x100000 + this.#calls).toString(16)}:200`);
        }
    }

    /** Waits for all calls, and writes what was sent, answered and run to the record. */
    async finish() {
        this.#isSoundRunning = false;
        await Promise.all(this.#pending);
        const outcomes = kind => tally(this.results.filter(result => result.kind === kind).map(outcomeOf));
        this.note(`crashes of engines: ${this.crashes.length}, at ${this.crashes.map(({ atMs }) => this.#seconds(atMs)).join(", ")}`);
        this.note(`calls with the part: ${outcomes("crashing")}`);
        this.note(`sound calls: ${outcomes("sound")}`);
        const answer = this.results.find(({ kind, status }) => kind === "sound" && status === 500);
        if (answer !== undefined) {
            this.note(`answer to a sound call: ${answer.status} ${answer.body.trim()}`);
        }
    }

    /** Time of the fifth crash, or the last, if there are fewer. */
    get decidingCrashMs() {
        return (this.crashes[4] ?? this.crashes.at(-1))?.atMs;
    }

    /** Whether the node of a call had been in touch as long as the rules ask when the call was sent. */
    isInTouch({ sentAtMs, nodeStartedAtMs }) {
        return sentAtMs >= nodeStartedAtMs + BOUNDS.ContactMs;
    }

    /** Returns the result of a call. */
    resultOf(id) {
        return this.results.find(result => result.id === id);
    }

    #seconds(atMs) {
        return ((atMs - this.startedAtMs) / 1_000).toFixed(2);
    }

    async #runSound() {
        this.startedAtMs = performance.now();
        let sent = 0;
        while (this.#isSoundRunning) {
            for (; sent < (performance.now() - this.startedAtMs) / 1_000 * this.soundPerSecond; sent += 1) {
                this.#calls += 1;
                this.#send("sound", `${SHARED_PART}:60,${(0x200000 + this.#calls).toString(16)}:500`);
            }
            await sleep(10);
        }
    }

    #send(kind, parts) {
        const { nodes } = this.fleet;
        const node = nodes[this.#calls % nodes.length];
        const id = `${kind}-${this.#calls}`;
        const headers = { "Api-Key": KEY, Model: "m", "Token-Usage": "560,300", "Prefix-Hash": parts };
        const nodeStartedAtMs = node.startedAtMs;
        const call = { id, host: HOST, path: "/path/x", deadlineMs: 12_000, headers, body: `prompt ${id}` };
        this.#pending.push(send(node, call).then(result => this.results.push({ ...result, id, kind, nodeStartedAtMs })));
    }

    #isCrashing({ headers }) {
        return (headers["prefix-hash"] ?? "").includes(CRASHING_PART);
    }

    #recordArrival(call) {
        if (this.#isCrashing(call)) {
            this.arrivals.push({ id: call.id, atMs: performance.now(), engine: call.incarnation });
        }
    }

    #plan(call) {
        const plan = { firstMs: FIRST_EVENT_MS + Math.random() * 40, events: EVENTS, gapMs: EVENT_GAP_MS };
        return this.doesCrash && this.#isCrashing(call) ? { ...plan, crash: () => this.#crash(call) } : plan;
    }

    #crash({ engine, incarnation }) {
        this.crashes.push({ atMs: performance.now(), engine: incarnation });
        engine.crash();
        setTimeout(() => {
            engine.start().catch(error => this.note(`engine did not start: ${error.message}`));
        }, BACK_MS);
    }
}

export { BOUNDS, isTroubled };
