/**
 * Program of one member process: runs membership and dissemination over gRPC without the rest of the daemon.
 *
 * @module
 */

import { runEffects, tap } from "@most/core";
import { newDefaultScheduler } from "@most/scheduler";
import { subscribe } from "node:diagnostics_channel";
import { setMaxListeners } from "node:events";
import type { Socket } from "node:net";
import { GossipDissemination, Membership } from "../src/coordination/mod.js";
import { PeerService } from "../src/daemon/mod.js";
import { Topic } from "../src/protocol/mod.js";
import { HybridClock, SeededRandom, SystemClock, type Vm } from "../src/state/mod.js";
import { GrpcPeerClient, GrpcServer, PeerAuthorizer, peerService } from "../src/transport/mod.js";
import type { MemberCommand, MemberReport, MemberSettings } from "./_member_message.js";
import { FullMeshMembership } from "./naive/full_mesh_membership.js";

/** Values that a node publishes: topic, mean interval between two publications and size in bytes. */
const PUBLICATIONS = [
    // Every node publishes the new version after each of 4,000 configuration changes a day.
    { topic: Topic.ConfigurationVersion, intervalMs: 21_600, bytes: 8 },
    { topic: Topic.AdmissionLevel, intervalMs: 30_000, bytes: 10 },
    { topic: Topic.SentLoad, intervalMs: 5_000, bytes: 60 },
    { topic: Topic.RolloutEvidence, intervalMs: 60_000, bytes: 100 },
] as const;

/** Time in each second during which an overloaded node blocks its event loop, in milliseconds. */
const OVERLOAD_BUSY_MS = 900;

/** Milliseconds in a second. */
const MS_PER_SECOND = 1_000;

/** Counts the bytes of all sockets of the process, including the HTTP/2 framing around the messages. */
class SocketCounter {
    private readonly sockets = new Set<Socket>();
    private closedBytes = 0;

    constructor() {
        subscribe("net.client.socket", message => this.add((message as { readonly socket: Socket }).socket));
        subscribe("net.server.socket", message => this.add((message as { readonly socket: Socket }).socket));
    }

    /** Bytes written and read so far, including closed sockets. */
    get bytes(): number {
        return [...this.sockets].reduce((sum, socket) => sum + transferredBytes(socket), this.closedBytes);
    }

    private add(socket: Socket): void {
        this.sockets.add(socket);
        socket.once("close", () => {
            this.sockets.delete(socket);
            this.closedBytes += transferredBytes(socket);
        });
    }
}

function transferredBytes(socket: Socket): number {
    return (socket.bytesWritten ?? 0) + (socket.bytesRead ?? 0);
}

const sockets = new SocketCounter();
const settings = JSON.parse(process.argv[2]) as MemberSettings;
const clock = new SystemClock();
const random = new SeededRandom(settings.seed);
const membership = new Membership({
    node: settings.vm.id,
    address: settings.vm.address,
    failureDomain: settings.vm.failureDomain,
    clock,
    random,
    hybridClock: new HybridClock(clock),
    client: new GrpcPeerClient(),
});
const dissemination = new GossipDissemination({ clock, random, membership });
const stopped = new AbortController();
// The naive membership runs one task per peer, and each listens to this signal.
setMaxListeners(0, stopped.signal);
const [host, port] = settings.vm.address.split(":");
const peerHandler = new PeerService({ membership, dissemination, configurationVersion: () => 0 });
const server = new GrpcServer({ services: [peerService(peerHandler, new PeerAuthorizer())] });
await server.listen(host, Number(port));
process.on("disconnect", () => process.exit(0));
process.on("message", message => handleCommand(message as MemberCommand));
sendReport({ kind: "ready" });

function sendReport(message: MemberReport): void {
    process.send?.(message);
}

function reportChange(id: string, state: string): void {
    sendReport({ kind: "change", id, state, atMs: Date.now() });
}

function handleCommand(command: MemberCommand): void {
    switch (command.kind) {
        case "list":
            runMembership(command.vms);
            return;
        case "figures": {
            const { user, system } = process.cpuUsage();
            const { sentBytes, receivedBytes } = membership.budget;
            const figures = {
                cpuMicros: user + system,
                rssBytes: process.memoryUsage().rss,
                messageBytes: sentBytes + receivedBytes,
            };
            sendReport({ kind: "figures", ...figures, socketBytes: sockets.bytes, deferred: dissemination.deferredExchanges });
            return;
        }
        case "overload":
            void simulateOverload(command.seconds);
            return;
    }
}

function runMembership(vms: readonly Vm[]): void {
    if (settings.naive) {
        new FullMeshMembership({ node: settings.vm.id, clock, client: membership.client, onChange: reportChange })
            .start(vms, stopped.signal);
        return;
    }
    void runEffects(tap(member => reportChange(member.id, member.state), membership.changes), newDefaultScheduler());
    membership.applyVmList(vms);
    void membership.run(stopped.signal);
    void dissemination.run(stopped.signal);
    for (const publication of PUBLICATIONS) {
        void publishPeriodically(publication);
    }
}

async function publishPeriodically({ topic, intervalMs, bytes }: typeof PUBLICATIONS[number]): Promise<void> {
    while (await clock.sleep(intervalMs * (0.5 + random.next()), stopped.signal)) {
        dissemination.publish(topic, "pool", Buffer.alloc(bytes, Math.floor(clock.now())));
    }
}

async function simulateOverload(seconds: number): Promise<void> {
    for (let second = 0; second < seconds; second += 1) {
        const untilMs = clock.now() + OVERLOAD_BUSY_MS;
        while (clock.now() < untilMs) {
            // Busy-waits to block the event loop.
        }
        await clock.sleep(MS_PER_SECOND - OVERLOAD_BUSY_MS);
    }
}
