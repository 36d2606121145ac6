/**
 * Group of member processes on loopback, each running only membership and dissemination.
 *
 * @module
 */

import { type ChildProcess, fork } from "node:child_process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { type Vm, VmRole, VmState } from "../src/state/mod.js";
import { findPorts } from "../standin/fleet_process.js";
import type { MemberCommand, MemberFigures, MemberReport, MemberSettings } from "./_member_message.js";

/** Path of the program of a member process. */
const PROGRAM = fileURLToPath(new URL("./_member_process.js", import.meta.url));

/** Interval between process starts, in milliseconds; staggered so that the processes do not all compile at once. */
const START_INTERVAL_MS = 50;

/** Change of a member's state as observed by one node. */
export interface ReportedChange {
    readonly observerId: string;
    readonly id: string;
    readonly state: string;
    readonly atMs: number;
}

/** Handle of one member process. */
export class MemberNode {
    readonly changes: ReportedChange[] = [];
    isKilled = false;
    private readonly child: ChildProcess;
    private onFigures: ((figures: MemberFigures) => void) | undefined;

    constructor(readonly vm: Vm, settings: MemberSettings, onReady: () => void) {
        this.child = fork(PROGRAM, [JSON.stringify(settings)], { stdio: ["ignore", "ignore", "inherit", "ipc"] });
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

    /** Sends a command to the process. */
    send(command: MemberCommand): void {
        this.child.send(command);
    }

    /** Requests the figures of the process since its start. */
    readFigures(): Promise<MemberFigures> {
        return new Promise(resolve => {
            this.onFigures = resolve;
            this.send({ kind: "figures" });
        });
    }

    /** Sends a signal to the process. */
    sendSignal(name: NodeJS.Signals): void {
        this.child.kill(name);
    }

    /** Kills the process with SIGKILL. */
    kill(): void {
        this.isKilled = true;
        this.child.kill("SIGKILL");
    }
}

/** Member processes of one fleet. */
export class MemberGroup {
    readonly nodes: MemberNode[] = [];

    /** Starts the processes, waits until all of them listen and sends them the VM list. */
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
            const memberSettings = { vm, seed: settings.seed * 1_000 + index, naive: settings.naive };
            ready.push(new Promise(resolve => group.nodes.push(new MemberNode(vm, memberSettings, resolve))));
            await sleep(START_INTERVAL_MS);
        }
        await Promise.all(ready);
        for (const node of group.nodes) {
            node.send({ kind: "list", vms: group.nodes.map(each => each.vm) });
        }
        return group;
    }

    /** Nodes that have not been killed. */
    get live(): readonly MemberNode[] {
        return this.nodes.filter(node => !node.isKilled);
    }

    /** Kills all processes. */
    stop(): void {
        for (const node of this.live) {
            node.kill();
        }
    }
}
