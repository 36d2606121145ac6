/**
 * Records the messages and log records that this build writes, as a fixture for the tests of later builds:
 *
 *     node dist/measure/record_messages.js > features/fixtures/messages/COMMIT.json
 *
 * @module
 */

import { createSocket } from "node:dgram";
import { connect } from "node:net";
import { PlatformHeaders, PlatformRecords } from "../platform/mod.js";
import {
    type AdmittedCall,
    fromDetourCall,
    NodeDirectory,
    ReportSums,
    toDetourCall,
    VersionRollouts,
} from "../src/coordination/relay/mod.js";
import type { PeerReport } from "../src/protocol/relay/mod.js";
import {
    AnswerPlace,
    DetourCall,
    EMPTY_REPORT,
    type KeyedLog,
    type KeyedRecord,
    type ReportReceiver,
    ReportScope,
    RolloutVerdict,
} from "../src/protocol/relay/mod.js";
import { SeededRandom, SystemClock, VersionOrderState } from "../src/state/relay/mod.js";
import { DETOUR_PATH, DetourServer, type HttpRelayAnswer, PeerSocket } from "../src/transport/relay/mod.js";

/** Time for which a rollout runs until its start and state are written, in milliseconds. */
const ROLLOUT_MS = 1_500;

/** Headers of a backend server's answer. */
const SEALED_HEADERS = ["Request-Id", "call-1", "Response-Seal", "seal"];

const clock = new SystemClock();

/** Report with a value in each field that a node itself fills. */
function makeReport(node: string): PeerReport {
    return {
        ...EMPTY_REPORT,
        node,
        startedAtMs: 1_765_000_000_123,
        sequence: 7,
        address: "127.0.0.1:7600",
        serverKeys: [0xdead_beef, 17],
        serverCalls: [3, 300],
        bucketKeys: [0xffff_ffff, 5],
        bucketTotals: [1_234.5, 1e12],
        versions: [{
            serviceKey: 21,
            order: 4_000_000_000,
            isTarget: true,
            calls: 90,
            slices: [{
                index: 1_765_000_000,
                completed: 80,
                failed: 9,
                firstEvent: [3, 40, 9, 40],
                interval: [1, 2],
                brokenServers: [0xdead_beef],
            }],
            verdict: RolloutVerdict.ROLLED_BACK,
        }],
        failureDomain: "zone-a",
        logSteadyMs: 9_000,
        heardNodes: 1,
        cores: 0.675,
        demands: [{
            serviceKey: 21,
            inTimeCalls: 4,
            lateCalls: 2,
            arrivalsPerSecond: 30,
            aboveShareCalls: 0,
            aboveShareArrivalsPerSecond: 0,
        }],
        callSuspects: [{
            traitKey: 31,
            crashKeys: [0xdead_beef, 8],
            isAnswered: false,
            isContent: true,
            crashKeysAfterAnswers: [],
            clearedCrashKeys: [9],
            events: 3,
        }],
        serverLimits: [{ serverKey: 17, callsPerSecond: 12.5, isEnded: false, statedAtMs: 1_765_000_000_001 }],
        lostServices: [{ nodeKey: 41, serviceKey: 21 }],
        leavingServers: [{ serverKey: 17, statedAtMs: 1_765_000_000_002 }],
        brittleServers: [{ serverKey: 17, refusalsPerSecond: 2.5, isEnded: true, statedAtMs: 1_765_000_000_003 }],
        topicViews: [{ topicKey: 51, readerKey: 41, era: 2, baseOffset: 10, changedOffset: 12, endOffset: 14, ageMs: 250 }],
    };
}

/** Sends a report over the peer socket and returns the datagram that its receiver gets. */
async function recordDatagram(report: PeerReport, ownPart: PeerReport | undefined): Promise<unknown> {
    const receiver = createSocket("udp4");
    await new Promise<void>(resolve => receiver.bind({ address: "127.0.0.1", port: 0 }, resolve));
    const sender = new PeerSocket(() => undefined, text => process.stderr.write(`${text}\n`));
    await sender.listen("127.0.0.1", 0);
    const received = new Promise<Buffer>(resolve => receiver.once("message", resolve));
    const receivers: ReportReceiver[] = [{ address: `127.0.0.1:${receiver.address().port}`, ownPart }];
    sender.send(report, receivers);
    const bytes = await received;
    sender.close();
    receiver.close();
    return { hex: bytes.toString("hex"), meaning: ownPart === undefined ? report : { ...report, ownPart } };
}

async function recordReports(): Promise<Readonly<Record<string, unknown>>> {
    const sums = new ReportSums(clock);
    for (const node of ["entry-1", "entry-2"]) {
        // Totals count from the first report of a sender on.
        sums.record(node, { ...makeReport(node), sequence: 6, bucketTotals: [0, 0] });
        sums.record(node, makeReport(node));
    }
    const sum = { ...makeReport("entry-1"), ...sums.sum() };
    return {
        node: await recordDatagram(makeReport("entry-1"), undefined),
        leaving: await recordDatagram({ ...makeReport("entry-1"), leaving: true }, undefined),
        domain: await recordDatagram({ ...sum, scope: ReportScope.DOMAIN }, undefined),
        fleet: await recordDatagram({ ...sum, scope: ReportScope.FLEET }, sums.partOf("entry-2")),
    };
}

function recordDetourCall(path: string, changes: Partial<DetourCall>, lastEventId?: string): unknown {
    const call: DetourCall = {
        headers: ["Host", "app.example", "Request-Id", "call-1", "X-End", "ä"],
        method: "POST",
        target: `${path}x?q=1`,
        body: Buffer.from("body"),
        lastEventId: "",
        service: "service",
        route: {
            name: path.slice(1, -1),
            isRepeatable: false,
            isStream: false,
            isResumable: false,
            timeoutMs: 5_000,
            objectiveMs: 500,
            rank: 2,
            maxAttempts: 2,
        },
        workspace: "clinic",
        workspaceRank: 1,
        elapsedMs: 12.5,
        deadlineMs: 4_000,
        firstAttemptDeadlineMs: 4_500,
        configurationVersion: 7,
        homeRegions: [],
        confinedRoute: undefined,
        ...changes,
    };
    const admitted = fromDetourCall(call, {
        headers: new PlatformHeaders(),
        answer: undefined as unknown as AdmittedCall["answer"],
        callerGone: new AbortController().signal,
        nowMs: 1_000,
    }) as AdmittedCall;
    const message = toDetourCall(admitted, { nowMs: 1_000, maxAttempts: 2, lastEventId });
    const meaning = { ...message, body: Buffer.from(message.body).toString("latin1") };
    return { hex: Buffer.from(DetourCall.encode(message).finish()).toString("hex"), meaning };
}

function recordDetourCalls(): Readonly<Record<string, unknown>> {
    const route = DetourCall.decode(Buffer.from((recordDetourCall("/unsafe/", {}) as { hex: string }).hex, "hex")).route;
    if (route === undefined) {
        throw new Error("Cannot record calls: the message has no route");
    }
    const safe = { ...route, name: "safe", isRepeatable: true };
    const stream = { ...route, name: "stream", isStream: true };
    const resumable = { ...route, name: "resumable", isStream: true, isResumable: true };
    return {
        unsafe: recordDetourCall("/unsafe/", {}),
        safe: recordDetourCall("/safe/", { route: safe }),
        public: recordDetourCall("/unsafe/", { workspace: "", workspaceRank: 0 }),
        stream: recordDetourCall("/stream/", { route: stream }),
        resumed: recordDetourCall("/resumable/", { route: resumable }, "3"),
    };
}

/** Sends a message to a detour server and returns the bytes of its answer. */
async function recordAnswer(
    receive: (answer: HttpRelayAnswer) => string | undefined,
    settings: { readonly isNode?: boolean; readonly isStopped?: boolean; readonly message?: Buffer } = {},
): Promise<string> {
    const server = new DetourServer({
        clock: new SystemClock(),
        isNode: () => settings.isNode ?? true,
        receive: (call, answer) => receive(answer),
        onListenerError: () => undefined,
        onRejected: () => undefined,
    });
    await server.listen("127.0.0.1", 0);
    if (settings.isStopped === true) {
        server.stop();
    }
    const message = settings.message ?? Buffer.from((recordDetourCall("/unsafe/", {}) as { hex: string }).hex, "hex");
    const socket = connect(server.port, "127.0.0.1");
    socket.write(`POST ${DETOUR_PATH} HTTP/1.1\r\nHost: peer\r\nContent-Length: ${message.length}\r\n\r\n`);
    socket.write(message);
    const chunks: Buffer[] = [];
    socket.on("data", (chunk: Buffer) => chunks.push(chunk));
    await clock.sleep(200);
    socket.destroy();
    server.closeAll();
    return Buffer.concat(chunks).toString("latin1");
}

async function recordAnswers(): Promise<Readonly<Record<string, string>>> {
    const local = (status: number, retryAfterMs?: number) => (answer: HttpRelayAnswer) => {
        answer.sendLocal({ place: AnswerPlace.Attempts, status, text: "Text of the peer.", retryAfterMs });
        return undefined;
    };
    return {
        handedBack: await recordAnswer(local(421)),
        leaving: await recordAnswer(local(200), { isStopped: true }),
        unreadable: await recordAnswer(local(200), { message: Buffer.from("ffffffff", "hex") }),
        stranger: await recordAnswer(local(200), { isNode: false }),
        refused: await recordAnswer(local(503, 40)),
        mayHaveRun: await recordAnswer(local(502)),
        timedOut: await recordAnswer(local(504)),
        complete: await recordAnswer(answer => {
            answer.sendComplete(200, SEALED_HEADERS, Buffer.from("0123456789abcdef"));
            return undefined;
        }),
        failed: await recordAnswer(answer => {
            answer.sendComplete(500, SEALED_HEADERS, Buffer.from("failed"));
            return undefined;
        }),
        stream: await recordAnswer(answer => {
            answer.start(200, [...SEALED_HEADERS, "Content-Type", "text/event-stream"]);
            void answer.write(Buffer.from("id: 1\ndata: piece 1\n\nid: 2\nda"));
            void answer.write(Buffer.from("ta: piece 2\n\n"));
            answer.end();
            return undefined;
        }),
    };
}

/** Log that keeps what is appended. */
class RecordingLog implements Pick<KeyedLog, "readNewest" | "append"> {
    readonly records: (KeyedRecord & { readonly topic: string; readonly text: string })[] = [];

    readNewest(topic: string): ReturnType<KeyedLog["readNewest"]> {
        const records = this.records.filter(record => record.topic === topic);
        return Promise.resolve({ records, endOffset: records.length, era: 1 });
    }

    append(topic: string, key: string, value: Uint8Array): Promise<number> {
        this.records.push({ topic, key, value, text: Buffer.from(value).toString("utf8"), offset: this.records.length });
        return Promise.resolve(1);
    }
}

async function recordLogRecords(): Promise<readonly unknown[]> {
    const recording = new RecordingLog();
    const log = recording as unknown as KeyedLog;
    const stopped = new AbortController();
    await new NodeDirectory({
        log,
        clock,
        random: new SeededRandom(1),
        node: "entry-1",
        failureDomain: "zone-a",
        cores: 0.675,
        address: () => "127.0.0.1:7600",
        onError: text => process.stderr.write(`${text}\n`),
        onRewrite: () => undefined,
    }).join(stopped.signal);
    const records = new PlatformRecords();
    const rollouts = new VersionRollouts({
        clock: { now: () => 1_765_000_000_000, sleep: clock.sleep.bind(clock) },
        random: new SeededRandom(1),
        log,
        records,
        bounds: { maxShare: 0.1, slackCalls: 50 },
        peerReports: () => [],
        unreachableShare: () => 0,
        servers: () => [],
        onChange: () => undefined,
        onRewrite: () => undefined,
    });
    rollouts.applyOrder({ service: "service", version: "v2", durationMs: 60_000 }, { era: 2, offset: 11 });
    void rollouts.run(stopped.signal);
    await clock.sleep(ROLLOUT_MS);
    stopped.abort();
    for (const state of [VersionOrderState.Completed, VersionOrderState.RolledBack]) {
        const { key, value } = records.encodeState({ service: "service", version: "v2", state });
        await recording.append(records.stateTopic, key, value);
    }
    return recording.records.map(({ topic, key, text }) => ({ topic, key, text }));
}

const recorded = {
    reports: await recordReports(),
    detourCalls: recordDetourCalls(),
    detourAnswers: await recordAnswers(),
    records: await recordLogRecords(),
};
process.stdout.write(`${JSON.stringify(recorded, undefined, 4)}\n`);
