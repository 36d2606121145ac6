/**
 * Group commit of claim entries to one stream of the log.
 *
 * @module
 */

import { claimWire, describeCause, Executed, type LogService, PlatformError } from "../../protocol/mod.js";
import { type Clock, type EventRing, Part } from "../../state/mod.js";
import { ClaimIndex, createVerdict } from "./claim_index.js";
import { isDatedStream } from "./claim_key.js";

/** Default minimum time between two appends while a caller waits for an entry, in milliseconds. */
const DEFAULT_CLAIM_APPEND_INTERVAL_MS = 6;

/** Minimum time between two appends while no caller waits for an entry, in milliseconds. */
const BACKGROUND_APPEND_INTERVAL_MS = 50;

/** Delay after a failed call to the log, in milliseconds. */
const RETRY_DELAY_MS = 100;

/** Maximum total size of the entries in one record, in bytes. */
const MAX_CLAIM_RECORD_BYTES = 256 * 1024;

const { ClaimEntryKind, ClaimVerdictKind } = claimWire;

/** Stands for an outcome whose record has expired or cannot be read. */
const UNAVAILABLE_OUTCOME: claimWire.ClaimOutcome = { status: 0, contentType: "", body: new Uint8Array(0), kept: false };

/** Submitted entry without a verdict. */
interface PendingEntry {
    readonly entry: claimWire.ClaimEntry;
    readonly bytes: number;
    /** Whether an append of the entry was started and is not known to have failed. */
    mayBeAppended: boolean;
    settled: boolean;
    readonly settle: (verdict: claimWire.ClaimVerdict) => void;
}

/** Settings of a {@linkcode ClaimStream}. */
export interface ClaimStreamSettings {
    readonly clock: Clock;
    readonly ring: EventRing;
    readonly log: LogService;
    /** Name of the stream in the log. */
    readonly stream: string;
    /** Minimum time between two appends while a caller waits for an entry, in milliseconds. Defaults to 6. */
    readonly claimAppendIntervalMs?: number;
    /** Returns whether the node holds the maximum number of keys. Defaults to never. */
    readonly isFull?: () => boolean;
}

/**
 * Batches the queued entries into one append, reads the stream up to the offset of the append and resolves each entry with its
 * verdict.
 *
 * Several nodes may do this for one stream at the same time: the verdicts depend only on the order of the records in the log.
 */
export class ClaimStream {
    /** Time of the last submitted entry, in milliseconds since the Unix epoch; the time of creation if there was none. */
    lastUsedAtMs: number;
    readonly index: ClaimIndex;
    private readonly claimAppendIntervalMs: number;
    private nextOffset = 0;
    /** Whether the last call to the log succeeded, so that an append is likely to succeed too. */
    private isLogReachable = false;
    private queue: PendingEntry[] = [];
    private running = false;
    private lastAppendAtMs = 0;

    /** @param settings See {@linkcode ClaimStreamSettings}. */
    constructor(private readonly settings: ClaimStreamSettings) {
        this.claimAppendIntervalMs = settings.claimAppendIntervalMs ?? DEFAULT_CLAIM_APPEND_INTERVAL_MS;
        this.lastUsedAtMs = settings.clock.now();
        this.index = new ClaimIndex({ dated: isDatedStream(settings.stream) });
    }

    /** Whether entries are queued or being appended. */
    get isBusy(): boolean {
        return this.running;
    }

    /**
     * Commits an entry to the log and returns its verdict, which also says why an entry could not be committed.
     *
     * @param entry Entry; a resubmission must have the same attempt id.
     * @param untilMs Time at which the wait ends, in milliseconds since the Unix epoch.
     */
    async submit(entry: claimWire.ClaimEntry, untilMs: number): Promise<claimWire.ClaimVerdict> {
        const { clock } = this.settings;
        this.lastUsedAtMs = clock.now();
        const decided = new AbortController();
        return new Promise(resolve => {
            const pending: PendingEntry = {
                entry,
                bytes: claimWire.ClaimEntry.encode(entry).finish().length,
                mayBeAppended: false,
                settled: false,
                settle: verdict => {
                    pending.settled = true;
                    decided.abort();
                    resolve(verdict);
                },
            };
            this.queue.push(pending);
            void this.expireAt(pending, untilMs, decided.signal);
            this.start();
        });
    }

    /**
     * Reads to the end of the stream.
     *
     * @throws {PlatformError} When the log did not answer.
     */
    async refresh(): Promise<void> {
        let endOffset: number;
        do {
            const page = await this.settings.log.read(this.settings.stream, this.nextOffset);
            if (page.firstOffset > this.nextOffset) {
                this.index.markIncomplete();
                this.nextOffset = page.firstOffset;
            }
            this.index.evictBefore(page.firstOffset);
            for (const { offset, data } of page.records) {
                this.applyRecord(offset, data);
            }
            endOffset = page.endOffset;
        }
        while (this.nextOffset < endOffset);
    }

    private async expireAt(pending: PendingEntry, untilMs: number, decided: AbortSignal): Promise<void> {
        const { clock } = this.settings;
        const elapsed = await clock.sleep(untilMs - clock.now(), decided);
        if (!elapsed || pending.settled) {
            return;
        }
        this.queue = this.queue.filter(each => each !== pending);
        pending.settle(createVerdict(
            pending.mayBeAppended ?
                ClaimVerdictKind.CLAIM_VERDICT_KIND_FATE_UNKNOWN :
                ClaimVerdictKind.CLAIM_VERDICT_KIND_NOT_APPENDED,
        ));
    }

    private start(): void {
        if (!this.running) {
            this.running = true;
            void this.run();
        }
    }

    /** Commits batches until the queue is empty. */
    private async run(): Promise<void> {
        const { clock, ring, stream } = this.settings;
        while (this.queue.length > 0) {
            await this.awaitAppendInterval();
            try {
                await this.commitBatch();
            }
            catch (error) {
                if (!(error instanceof PlatformError)) {
                    const text = `Cannot commit to stream ${stream}: ${describeCause(error)}`;
                    ring.record({ part: Part.Claim, kind: "commitFailed", text, warning: true });
                }
                this.isLogReachable = false;
                await clock.sleep(RETRY_DELAY_MS);
            }
        }
        this.running = false;
    }

    /**
     * Appends the queued entries that are not in the log yet and settles those that have a verdict then.
     *
     * An append brings the index up to the offset of the append. When nothing is to be appended, the stream is read instead, since
     * another node may have recorded an outcome that changes the verdict on a claim.
     */
    private async commitBatch(): Promise<void> {
        if (!this.isLogReachable) {
            await this.refresh();
            this.isLogReachable = true;
        }
        const waiting = [...this.queue];
        const batch = this.selectBatch();
        if (batch.length > 0) {
            await this.append(batch);
        }
        else {
            await this.refresh();
        }
        this.settleDecided(waiting);
    }

    /** Waits until an append is due; checks at short intervals, since an entry that a caller waits for makes it due earlier. */
    private async awaitAppendInterval(): Promise<void> {
        const { clock } = this.settings;
        while (this.queue.length > 0) {
            const urgent = this.queue.some(({ entry }) => isAwaitedByCaller(entry));
            const dueAtMs = this.lastAppendAtMs + (urgent ? this.claimAppendIntervalMs : BACKGROUND_APPEND_INTERVAL_MS);
            const waitMs = dueAtMs - clock.now();
            if (waitMs <= 0) {
                return;
            }
            await clock.sleep(Math.min(waitMs, DEFAULT_CLAIM_APPEND_INTERVAL_MS));
        }
    }

    private settleDecided(waiting: readonly PendingEntry[]): void {
        const decided = new Set<PendingEntry>();
        for (const pending of waiting) {
            const verdict = this.index.verdictFor(pending.entry) ?? this.capacityVerdict(pending);
            if (verdict === undefined) {
                continue;
            }
            decided.add(pending);
            if (verdict.kind === ClaimVerdictKind.CLAIM_VERDICT_KIND_RECORDED) {
                void this.settleRecorded(pending, verdict);
                continue;
            }
            pending.settle(verdict);
        }
        this.queue = this.queue.filter(pending => !decided.has(pending) && !pending.settled);
    }

    /** Reads the outcome and settles the entry with it; the other entries do not wait for this read. */
    private async settleRecorded(pending: PendingEntry, verdict: claimWire.ClaimVerdict): Promise<void> {
        try {
            pending.settle({ ...verdict, outcome: await this.readOutcome(pending.entry) });
        }
        catch {
            pending.settle({ ...verdict, outcome: UNAVAILABLE_OUTCOME });
        }
    }

    /** Reads an outcome from its record, since the index does not store answer bodies. */
    private async readOutcome(entry: claimWire.ClaimEntry): Promise<claimWire.ClaimOutcome> {
        const offset = this.index.outcomeOffset(entry);
        const { records: [record] } = await this.settings.log.read(this.settings.stream, offset, { maxRecords: 1 });
        const entries = record?.offset === offset ? decodeEntries(record.data) : [];
        const found = entries.find(each => each.outcome !== undefined && isSameKey(each, entry));
        return found?.outcome ?? UNAVAILABLE_OUTCOME;
    }

    private capacityVerdict({ entry, mayBeAppended }: PendingEntry): claimWire.ClaimVerdict | undefined {
        const full = this.settings.isFull?.() === true && entry.kind === ClaimEntryKind.CLAIM_ENTRY_KIND_CLAIM;
        return full && !mayBeAppended ? createVerdict(ClaimVerdictKind.CLAIM_VERDICT_KIND_FULL) : undefined;
    }

    private async append(batch: readonly PendingEntry[]): Promise<void> {
        const data = claimWire.ClaimBatch.encode({ entries: batch.map(({ entry }) => entry) }).finish();
        const previous = batch.map(pending => pending.mayBeAppended);
        for (const pending of batch) {
            pending.mayBeAppended = true;
        }
        this.lastAppendAtMs = this.settings.clock.now();
        try {
            const offset = await this.settings.log.append(this.settings.stream, data);
            await this.readBackTo(offset, data);
        }
        catch (error) {
            if (error instanceof PlatformError && error.executed === Executed.No) {
                for (const [index, pending] of batch.entries()) {
                    pending.mayBeAppended = previous[index];
                }
            }
            throw error;
        }
    }

    private selectBatch(): readonly PendingEntry[] {
        const batch: PendingEntry[] = [];
        let bytes = 0;
        for (const pending of this.queue) {
            if (!this.needsAppend(pending)) {
                continue;
            }
            bytes += pending.bytes;
            if (batch.length > 0 && bytes > MAX_CLAIM_RECORD_BYTES) {
                return batch;
            }
            batch.push(pending);
        }
        return batch;
    }

    private needsAppend(pending: PendingEntry): boolean {
        const { kind } = pending.entry;
        const known = kind === ClaimEntryKind.CLAIM_ENTRY_KIND_LOOKUP || this.index.verdictFor(pending.entry) !== undefined;
        return !known && this.capacityVerdict(pending) === undefined;
    }

    /** Applies records up to the offset of a record appended by this node; reads the log only if records before it are missing. */
    private async readBackTo(offset: number, data: Uint8Array): Promise<void> {
        if (offset === this.nextOffset) {
            this.applyRecord(offset, data);
            return;
        }
        while (this.nextOffset <= offset) {
            await this.refresh();
        }
    }

    private applyRecord(offset: number, data: Uint8Array): void {
        if (offset < this.nextOffset) {
            return;
        }
        this.nextOffset = offset + 1;
        for (const entry of decodeEntries(data)) {
            this.index.apply(offset, entry);
        }
    }
}

function isSameKey(left: claimWire.ClaimEntry, right: claimWire.ClaimEntry): boolean {
    return left.workspace === right.workspace && left.key === right.key;
}

function isAwaitedByCaller({ kind }: claimWire.ClaimEntry): boolean {
    return kind === ClaimEntryKind.CLAIM_ENTRY_KIND_CLAIM || kind === ClaimEntryKind.CLAIM_ENTRY_KIND_LOOKUP;
}

function decodeEntries(data: Uint8Array): readonly claimWire.ClaimEntry[] {
    try {
        return claimWire.ClaimBatch.decode(data).entries;
    }
    catch {
        // Every node skips malformed records, so the verdicts stay the same on all nodes.
        return [];
    }
}
