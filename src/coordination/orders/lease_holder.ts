/**
 * Taking, keeping and checking of the lease of one group of backend servers.
 *
 * After Gray and Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache Consistency" (1989).
 *
 * @module
 */

import { decodeLeaseRecord, encodeLeaseRecord, LEASE_STREAM, LeaseRecordKind, type LogService } from "../../protocol/mod.js";
import type { Clock } from "../../state/mod.js";
import { type Lease, LeaseRegistry } from "./lease_registry.js";

/** Length of a lease, in milliseconds. */
export const LEASE_DURATION_MS = 15_000;

/** Largest difference between the clocks of two VMs, in milliseconds. */
export const MAX_CLOCK_SKEW_MS = 500;

/** Longest time from the check of the lease to the end of an order, in milliseconds. */
export const MAX_ORDER_MS = 5_000;

/** Time between two renewals, in milliseconds. */
const RENEW_INTERVAL_MS = 5_000;

/** Time to wait after a failed call of the log, in milliseconds. */
const RETRY_DELAY_MS = 500;

/** Settings of a {@linkcode LeaseHolder}. */
export interface LeaseHolderSettings {
    readonly node: string;
    readonly group: string;
    readonly clock: Clock;
    readonly log: LogService;
}

/** One node's hold on one group. */
export class LeaseHolder {
    private readonly registry = new LeaseRegistry();
    private nextOffset = 0;
    private recordCount = 0;

    /** @param settings See {@linkcode LeaseHolderSettings}. */
    constructor(private readonly settings: LeaseHolderSettings) {}

    /**
     * Takes the lease, then waits until no order of the holder before can take effect any more.
     *
     * @param signal Ends the attempt when aborted.
     * @returns Fencing number, or `undefined` when the signal ended the attempt.
     */
    async acquire(signal: AbortSignal): Promise<number | undefined> {
        const { clock, node } = this.settings;
        while (!signal.aborted) {
            try {
                await this.readLog();
                if (await this.tryAcquire()) {
                    break;
                }
            }
            catch {
                // The record can have landed; the next read tells.
            }
            await clock.sleep(RETRY_DELAY_MS, signal);
        }
        const lease = this.lease;
        if (signal.aborted || lease?.holder !== node) {
            return undefined;
        }
        const safeAtMs = lease.previousExpiresAtMs + MAX_CLOCK_SKEW_MS + MAX_ORDER_MS;
        while (clock.now() < safeAtMs && !signal.aborted) {
            await clock.sleep(Math.min(RENEW_INTERVAL_MS, safeAtMs - clock.now()), signal);
            await this.renew();
        }
        return lease.fencingNumber;
    }

    /** Keeps the lease until the signal is aborted or another node has taken it. */
    async maintain(signal: AbortSignal): Promise<void> {
        while (!signal.aborted && this.isHolder) {
            await this.settings.clock.sleep(RENEW_INTERVAL_MS, signal);
            if (!signal.aborted) {
                await this.renew();
            }
        }
    }

    /**
     * Tells whether an order may be given now; to be called right before each one.
     *
     * The clock is read anew, so that a holder which was paused finds that its lease has run out.
     */
    isValid(): boolean {
        const { lease } = this;
        return lease !== undefined && this.isHolder && this.settings.clock.now() < lease.expiresAtMs;
    }

    /** Gives the lease back, so that the next holder need not wait. All orders must have ended. */
    async release(): Promise<void> {
        if (this.isHolder) {
            await this.append(LeaseRecordKind.Released);
        }
    }

    private get lease(): Lease | undefined {
        return this.registry.get(this.settings.group);
    }

    private get isHolder(): boolean {
        return this.lease?.holder === this.settings.node && !this.lease.released;
    }

    /** Extends the lease; a failure leaves it as it is, and it runs out in time. */
    private async renew(): Promise<void> {
        try {
            await this.append(LeaseRecordKind.Renewed);
        }
        catch {
            await this.settings.clock.sleep(RETRY_DELAY_MS);
        }
    }

    private async tryAcquire(): Promise<boolean> {
        const { clock, node } = this.settings;
        const { lease } = this;
        const free = lease === undefined || lease.released || clock.now() > lease.expiresAtMs + MAX_CLOCK_SKEW_MS;
        if (!free) {
            return false;
        }
        await this.append(LeaseRecordKind.Taken);
        return this.lease?.holder === node && !this.lease.released;
    }

    private async append(kind: LeaseRecordKind): Promise<void> {
        const { node, group, clock, log } = this.settings;
        this.recordCount += 1;
        const id = `${node}-${group}-${Math.floor(clock.now())}-${this.recordCount}`;
        const madeAgainst = this.lease?.revision ?? -1;
        const expiresAtMs = clock.now() + LEASE_DURATION_MS;
        await log.append(LEASE_STREAM, encodeLeaseRecord({ kind, id, group, holder: node, madeAgainst, expiresAtMs }));
        await this.readLog();
    }

    private async readLog(): Promise<void> {
        for (;;) {
            const page = await this.settings.log.read(LEASE_STREAM, this.nextOffset);
            for (const { offset, data } of page.records) {
                this.nextOffset = offset + 1;
                const record = decodeLeaseRecord(data);
                if (record !== undefined) {
                    this.registry.apply(offset, record);
                }
            }
            if (page.records.length === 0 || this.nextOffset >= page.endOffset) {
                return;
            }
        }
    }
}
