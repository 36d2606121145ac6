/**
 * Cases in which a request is cancelled, refused, closed or overtaken at each point of its way to a socket.
 *
 * @module
 */

import { holdUp } from "./busy_node.js";
import type { ExchangeRig, SentRequest } from "./exchange_rig.js";
import { waitFor } from "./relay_fixture.js";
import { formatAnswer, type RecordedConnection } from "./request_recorder.js";

/** Connections to one address that the client opens at most. */
const MAX_CLIENT_CONNECTIONS = 256;

/** Bytes of a body that fits into no socket. */
const LARGE_BODY_BYTES = 3_145_728;

/** Length of each pause that lets a message cross loopback, in milliseconds. */
const CROSSING_MS = 10;

/** Plays one case and returns the requests that it is about. */
export type ExchangeCase = (rig: ExchangeRig) => Promise<readonly SentRequest[]>;

/** Answers each request as soon as its head has arrived. */
export function answerAll(rig: ExchangeRig, headers: readonly string[] = []): void {
    rig.recorder.onHead = (connection, id) => connection.write(formatAnswer(id, 200, headers));
}

/** Opens a connection with an answered request, so that it is idle. */
async function openIdle(rig: ExchangeRig, headers: readonly string[] = []): Promise<RecordedConnection> {
    answerAll(rig, headers);
    await rig.send().ended;
    await new Promise(resolve => setImmediate(resolve));
    return lastConnection(rig);
}

function lastConnection(rig: ExchangeRig): RecordedConnection {
    const connection = rig.recorder.connections.at(-1);
    if (connection === undefined) {
        throw new Error("Cannot use the connection: none was opened");
    }
    return connection;
}

function pause(durationMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, durationMs));
}

/** Sends a request that the server does not answer, and waits for its head to arrive. */
async function occupy(rig: ExchangeRig, settings: Parameters<ExchangeRig["send"]>[0] = {}): Promise<SentRequest> {
    rig.recorder.onHead = () => undefined;
    const sent = rig.send(settings);
    await waitFor("the head has arrived", () => rig.recorder.requests.some(({ id }) => id === sent.id));
    return sent;
}

/** Answers the requests that have arrived on a connection, and the later ones at once. */
function answerNow(rig: ExchangeRig, sent: SentRequest): void {
    answerAll(rig);
    lastConnection(rig).write(formatAnswer(sent.id));
}

/** Fills all connections of the client, and queues requests behind them. */
async function fillClient(rig: ExchangeRig, queued: number): Promise<readonly SentRequest[]> {
    const pool = rig.client.pool(rig.recorder.address);
    for (let count = 0; count < MAX_CLIENT_CONNECTIONS; count += 1) {
        rig.send({ pool });
    }
    await waitFor("all connections are in use", () => rig.recorder.requests.length === MAX_CLIENT_CONNECTIONS);
    return Array.from({ length: queued }, () => rig.send({ pool }));
}

/** Answers all requests that have arrived. */
function answerArrived(rig: ExchangeRig): void {
    answerAll(rig);
    for (const connection of rig.recorder.open) {
        const id = connection.requests.at(-1)?.id;
        if (id !== undefined && connection.unanswered > 0) {
            connection.write(formatAnswer(id));
        }
    }
}

/** Sends one request at each of several times after an idle connection is opened, with a connection and pool of its own for each. */
async function sendAround(
    rig: ExchangeRig,
    timesMs: readonly number[],
    headers: readonly string[],
    before: (connection: RecordedConnection) => void,
): Promise<readonly SentRequest[]> {
    const sent: SentRequest[] = [];
    await Promise.all(timesMs.map(async timeMs => {
        const pool = rig.openPool();
        answerAll(rig, headers);
        const first = rig.send({ pool });
        await first.ended;
        const connection = rig.recorder.connections.find(({ requests }) => requests.some(({ id }) => id === first.id));
        if (connection !== undefined) {
            before(connection);
        }
        await pause(timeMs);
        sent.push(rig.send({ pool }));
    }));
    return sent;
}

/** Cases by name. */
export const EXCHANGE_CASES: ReadonlyMap<string, ExchangeCase> = new Map<string, ExchangeCase>([
    ["its signal is aborted before it is sent", async rig => {
        answerAll(rig);
        return [rig.send({ isAborted: true })];
    }],
    ["it is cancelled in the turn in which its connection begins to open", async rig => {
        answerAll(rig);
        const sent = rig.send();
        sent.cancel();
        return [sent];
    }],
    ["it is cancelled right after its connection has opened, before the write", async rig => {
        answerAll(rig);
        const { pool } = rig;
        const sent = rig.send({ pool });
        pool.once("connect", () => sent.cancel());
        return [sent];
    }],
    ["it is cancelled when it may be written", async rig => {
        answerAll(rig);
        return [rig.send({
            mayWrite: sent => {
                sent.cancel();
                return true;
            },
        })];
    }],
    ["its signal is aborted when it may be written", async rig => {
        answerAll(rig);
        return [rig.send({
            mayWrite: sent => {
                sent.abort();
                return true;
            },
        })];
    }],
    ["it may not be written on a new connection", async rig => {
        answerAll(rig);
        return [rig.send({ mayWrite: () => false })];
    }],
    ["it may not be written on an idle connection", async rig => {
        await openIdle(rig);
        return [rig.send({ mayWrite: () => false })];
    }],
    ["it may not be written, and another one waits for the same connection", async rig => {
        await openIdle(rig);
        const sent = rig.send({ mayWrite: () => false });
        rig.send();
        return [sent];
    }],
    ["it is cancelled while it waits behind another one on the only connection", async rig => {
        const first = await occupy(rig);
        const sent = rig.send();
        sent.cancel();
        answerNow(rig, first);
        return [sent];
    }],
    ["it is cancelled while it waits, and the one before it is cancelled as well", async rig => {
        const first = await occupy(rig);
        const sent = rig.send();
        sent.cancel();
        first.cancel();
        answerAll(rig);
        return [sent];
    }],
    ["it may not be written any more when its turn comes", async rig => {
        const first = await occupy(rig);
        const sent = rig.send({ mayWrite: () => false });
        answerNow(rig, first);
        return [sent];
    }],
    ["it is cancelled while all 256 connections of the client are in use", async rig => {
        const queued = await fillClient(rig, 3);
        for (const sent of queued) {
            sent.cancel();
        }
        answerArrived(rig);
        return queued;
    }],
    ["it is aborted in the turn in which it is sent on an idle connection", async rig => {
        await openIdle(rig);
        const sent = rig.send();
        sent.abort();
        return [sent];
    }],
    ["it is cancelled in a microtask while its idle connection is validated", async rig => {
        await openIdle(rig);
        const sent = rig.send();
        await Promise.resolve();
        sent.cancel();
        return [sent];
    }],
    ["it is cancelled while its idle connection is validated and gets bytes", async rig => {
        const connection = await openIdle(rig);
        connection.write(formatAnswer("late"));
        holdUp(CROSSING_MS);
        const sent = rig.send();
        sent.cancel();
        return [sent];
    }],
    ["its connection takes longer to open than the limit", async rig => {
        answerAll(rig);
        const pool = rig.client.pool(rig.recorder.address);
        const sent = Array.from({ length: 20 }, () => rig.send({ pool }));
        await Promise.all(sent.map(({ ended }) => ended));
        return sent;
    }],
    [
        "its idle connection is closed by the server around the write",
        rig => sendAround(rig, [0, 0, 1, 1, 2, 3, 4, 5], [], connection => setTimeout(() => connection.socket.end(), 2)),
    ],
    [
        "its idle connection is reset by the server around the write",
        rig =>
            sendAround(rig, [0, 0, 1, 1, 2, 3, 4, 5], [], connection => setTimeout(() => connection.socket.resetAndDestroy(), 2)),
    ],
    ["its connection is closed with the answer before it", async rig => {
        answerAll(rig, ["Connection: close"]);
        return [rig.send(), rig.send(), rig.send()];
    }],
    [
        "the time that the server keeps its idle connection is over around the write",
        rig =>
            sendAround(
                rig,
                [985, 990, 995, 998, 999, 1_000, 1_001, 1_002, 1_005, 1_010],
                ["Keep-Alive: timeout=3"],
                () => undefined,
            ),
    ],
    [
        "an extra answer comes while its connection is idle",
        rig =>
            sendAround(
                rig,
                [0, 0, 1, 1, 2, 3, 4, 5],
                [],
                connection => setTimeout(() => connection.write(formatAnswer("late")), 2),
            ),
    ],
    ["an extra answer comes with the answer before it", async rig => {
        rig.recorder.onHead = (connection, id) => connection.write(formatAnswer(id) + formatAnswer(id));
        return [rig.send(), rig.send(), rig.send()];
    }],
    ["half of an extra answer comes with the answer before it, and half after the write", async rig => {
        const extra = formatAnswer("late");
        rig.recorder.onHead = (connection, id) => connection.write(extra.slice(9) + formatAnswer(id) + extra.slice(0, 9));
        return [rig.send(), rig.send(), rig.send()];
    }],
    ["an extra answer comes right after the write", async rig => {
        await openIdle(rig);
        rig.recorder.onHead = connection => connection.write(formatAnswer("late"));
        return [rig.send(), rig.send()];
    }],
    ["the one before it on the only connection is reset", async rig => {
        await occupy(rig);
        const sent = [rig.send(), rig.send()];
        answerAll(rig);
        lastConnection(rig).socket.resetAndDestroy();
        return sent;
    }],
    ["the one before it is reset, and it is cancelled at once", async rig => {
        await occupy(rig);
        const sent = rig.send();
        answerAll(rig);
        lastConnection(rig).socket.resetAndDestroy();
        sent.cancel();
        return [sent];
    }],
    ["the one before it is cancelled with a body that is partly in the socket", async rig => {
        const first = await occupy(rig, { bodyBytes: LARGE_BODY_BYTES });
        const sent = rig.send();
        answerAll(rig);
        first.cancel();
        return [sent];
    }],
    ["it is cancelled while a part of its body is in the socket", async rig => {
        rig.recorder.onHead = ({ socket }) => socket.pause();
        const sent = rig.send({ bodyBytes: LARGE_BODY_BYTES });
        await waitFor("the head has arrived", () => rig.recorder.requests.length > 0);
        sent.cancel();
        await pause(CROSSING_MS);
        lastConnection(rig).socket.resume();
        return [sent];
    }],
    ["its pool is renewed while it runs", async rig => {
        const sent = await occupy(rig);
        rig.renew();
        answerNow(rig, sent);
        return [sent];
    }],
    ["its pool is renewed while it waits", async rig => {
        const first = await occupy(rig);
        const sent = rig.send();
        rig.renew();
        answerNow(rig, first);
        return [sent];
    }],
    ["its pool is renewed while it waits, and it is cancelled", async rig => {
        const first = await occupy(rig);
        const sent = rig.send();
        rig.renew();
        sent.cancel();
        answerNow(rig, first);
        return [sent];
    }],
    ["its pool is renewed while its connection opens, and it is cancelled", async rig => {
        answerAll(rig);
        const sent = rig.send();
        rig.renew();
        sent.cancel();
        return [sent];
    }],
    ["the client drops its address while all connections are in use", async rig => {
        const queued = await fillClient(rig, 3);
        rig.client.retain(new Set());
        answerArrived(rig);
        return queued;
    }],
    ["the client closes while it waits", async rig => {
        const queued = await fillClient(rig, 3);
        await rig.client.close();
        return queued;
    }],
    ["the client closes while it runs", async rig => {
        const sent = await occupy(rig, { pool: rig.client.pool(rig.recorder.address) });
        await rig.client.close();
        return [sent];
    }],
    ["the client closes while its connection opens", async rig => {
        answerAll(rig);
        const sent = rig.send({ pool: rig.client.pool(rig.recorder.address) });
        await rig.client.close();
        return [sent];
    }],
    ["the client closes with a body that is partly in the socket", async rig => {
        const sent = await occupy(rig, { pool: rig.client.pool(rig.recorder.address), bodyBytes: LARGE_BODY_BYTES });
        await rig.client.close();
        return [sent];
    }],
    ["the one before it is refused before its body is in, and the server reads on", async rig => {
        rig.recorder.onHead = (connection, id) => {
            connection.socket.pause();
            connection.write(formatAnswer(id, 503, ["Not-Executed: 1"]));
            setTimeout(() => connection.socket.resume(), CROSSING_MS);
        };
        const first = rig.send({ bodyBytes: LARGE_BODY_BYTES });
        const sent = [rig.send({ bodyBytes: LARGE_BODY_BYTES }), rig.send()];
        await first.ended;
        return sent;
    }],
    ["the one before it is refused before its body is in, and the connection is closed", async rig => {
        rig.recorder.onHead = (connection, id) => {
            connection.socket.pause();
            connection.write(formatAnswer(id, 503, ["Not-Executed: 1", "Connection: close"]));
            setTimeout(() => connection.socket.destroy(), CROSSING_MS);
        };
        const first = rig.send({ bodyBytes: LARGE_BODY_BYTES });
        const sent = rig.send();
        await first.ended;
        return [sent];
    }],
    ["the one before it is refused before its body is in, and it is cancelled", async rig => {
        rig.recorder.onHead = (connection, id) => {
            connection.socket.pause();
            connection.write(formatAnswer(id, 503, ["Not-Executed: 1"]));
            setTimeout(() => connection.socket.resume(), CROSSING_MS);
        };
        const first = rig.send({ bodyBytes: LARGE_BODY_BYTES });
        const sent = rig.send();
        await first.ended;
        sent.cancel();
        return [sent];
    }],
]);
