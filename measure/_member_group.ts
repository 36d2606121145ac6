/**
 * Group of light nodes as processes on loopback.
 *
 * @module
 */

import { type ChildProcess, fork } from "node:child_process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { type Vm, VmRole, VmState } from "../src/state/mod.js";
import { findPorts } from "../standin/fleet_process.js";
import type { MemberCommand, MemberFigures, MemberReport, MemberSettings } from "./_member_message.js";

/** Program of a light node. */
const PROGRAM = fileURLToPath(new URL("./_member_process.js", import.meta.url));

/** Time between the starts of two processes, in milliseconds, so that they do not all compile at once. */
const START_INTERVAL_MS = 50;

/** Change of a member that a node reported. */
export interface ReportedChange {
    readonly observerId: string;
    readonly id: string;
    readonly state: string;
    readonly atMs: number;
}

/** One light node. */
export class MemberNode {
    readonly changes: ReportedChange[] = [];
    isKilled = false;
    private readonly child: ChildProcess;
    private onFigures: ((figures: MemberFigures) => void) | undefined;

    constructor(readonly vm: Vm, start: MemberSettings, onReady: () => void) {
        this.child = fork(PROGRAM, [JSON.stringify(start)], { stdio: ["ignore", "ignore", "inherit", "ipc"] });
        this.child.on("message", message => {
            const report = message as MemberReport;
            switch (report.kind) {
                case "ready":
                    onReady();
                    return;
                case "change":
                    this.changes.push({ observerId: vm.id, id: report.id, state: report.state, atMs: report.atMs });
                    return;
                case "figures":
                    this.onFigures?.(report);
                    return;
            }
        });
    }

    /** Sends a command. */
    send(command: MemberCommand): void {
        this.child.send(command);
    }

    /** Asks for the figures. */
    readFigures(): Promise<MemberFigures> {
        return new Promise(resolve => {
            this.onFigures = resolve;
            this.send({ kind: "figures" });
        });
    }

    /** Sends a signal. */
    sendSignal(name: NodeJS.Signals): void {
        this.child.kill(name);
    }

    /** Ends the process at once. */
    kill(): void {
        this.isKilled = true;
        this.child.kill("SIGKILL");
    }
}

/** Light nodes of one size of fleet. */
export class MemberGroup {
    readonly nodes: MemberNode[] = [];

    /** Starts the nodes, waits until all listen and gives them the VM list. */
    static async start(
        count: number,
        domains: number,
        settings: { readonly seed: number; readonly naive: boolean },
    ): Promise<MemberGroup> {
        const group = new MemberGroup();
        const ports = await findPorts(count, 0);
        const ready: Promise<void>[] = [];
        for (const [index, port] of ports.entries()) {
            const failureDomain = `domain-${index % domains + 1}`;
            const address = `127.0.0.1:${port}`;
            const vm: Vm = { id: `entry-${index + 1}`, role: VmRole.Entry, address, failureDomain, state: VmState.Live };
            const start = { vm, seed: settings.seed * 1_000 + index, naive: settings.naive };
            ready.push(new Promise(resolve => group.nodes.push(new MemberNode(vm, start, resolve))));
            await sleep(START_INTERVAL_MS);
        }
        await Promise.all(ready);
        for (const node of group.nodes) {
            node.send({ kind: "list", vms: group.nodes.map(each => each.vm) });
        }
        return group;
    }

    /** Nodes that run. */
    get live(): readonly MemberNode[] {
        return this.nodes.filter(node => !node.isKilled);
    }

    /** Ends all processes. */
    stop(): void {
        for (const node of this.live) {
            node.kill();
        }
    }
}
