/**
 * A node's cost of a day's changes at the size to design for.
 *
 * @module
 */

import { createHash } from "node:crypto";
import { ConfigurationJournal } from "../src/coordination/mod.js";
import {
    CONFIGURATION_STREAM,
    encodeConfigurationRecord,
    type LogPage,
    type LogReadSettings,
    type LogRecord,
    LogService,
    SNAPSHOT_STREAM,
} from "../src/protocol/mod.js";
import {
    ChangeKind,
    changesBetween,
    type ConfigurationDocument,
    ConfigurationView,
    EMPTY_CONFIGURATION,
    EventRing,
    HybridClock,
    type ItemChange,
    ItemList,
    PoolKind,
    type RandomSource,
    SeededRandom,
    Semantics,
} from "../src/state/mod.js";
import { ConfigurationFleet } from "../standin/configuration_fleet.js";

/** Changes in a day. */
export const CHANGES_PER_DAY = 4_000;

/** Seconds in a day. */
export const SECONDS_PER_DAY = 86_400;

/** Workspaces in steady use. */
const WORKSPACES = 800;

/** Models in steady use, each with two operations. */
const MODELS = 10;

/** Tiers of requests. */
const TIERS = 4;

/** Share of a day that the sample covers; the figures are scaled up. */
const SAMPLE_FRACTION = 1 / 12;

/** Figures of one node over a day. */
export interface CostFigures {
    readonly documentBytes: number;
    readonly recordBytes: number;
    readonly appendsPerDay: number;
    readonly snapshotsPerDay: number;
    readonly snapshotBytes: number;
    /** Bytes of records and snapshots that a node reads and writes, without the protocol around them, on average in a second. */
    readonly nodeBytesPerSecond: number;
    /** Processor time to check and apply one change, in milliseconds. */
    readonly applyMs: number;
}

/** Counts what one node reads. */
class CountingLog extends LogService {
    bytes = 0;

    constructor(private readonly log: LogService) {
        super();
    }

    override async append(stream: string, data: Uint8Array): Promise<number> {
        this.bytes += data.length;
        return this.log.append(stream, data);
    }

    override async read(stream: string, fromOffset: number, settings?: LogReadSettings): Promise<LogPage> {
        const page = await this.log.read(stream, fromOffset, settings);
        for (const record of page.records) {
            this.bytes += record.data.length;
        }
        return page;
    }
}

/**
 * Makes the configuration of the size to design for.
 */
export function makeLargeDocument(): ConfigurationDocument {
    const tiers = Array.from({ length: TIERS }, (value, rank) => ({ name: `tier-${rank}`, rank }));
    const pools = Array.from({ length: MODELS }, (value, index) => ({ name: `model-${index}`, kind: PoolKind.Model }));
    const operations = Array.from({ length: 2 * MODELS }, (value, index) => ({
        name: `operation-${index}`,
        tier: `tier-${index % TIERS}`,
        pool: `model-${index % MODELS}`,
        semantics: Semantics.Repeatable,
        promise: { firstTokenMs: 720, betweenTokensMs: 36, answerMs: 30_000 },
        routes: [],
    }));
    const workspaces = Array.from(
        { length: WORKSPACES },
        (value, index) => ({ name: `workspace-${index}`, keyHash: makeKeyHash(index, 0) }),
    );
    return { tiers, pools, operations, workspaces, exceptions: [] };
}

/**
 * Runs a part of a day's changes against nodes under a virtual clock.
 *
 * @param seed Seed of the choice of changes.
 */
export async function measureCost(seed: number): Promise<CostFigures> {
    const fleet = new ConfigurationFleet({});
    const counting = new CountingLog(fleet.log);
    const node = fleet.addNode({ log: counting });
    fleet.addNode();
    const random = new SeededRandom(seed);
    const document = makeLargeDocument();
    const first = changesBetween(EMPTY_CONFIGURATION.document, document);
    await append(fleet, { id: "first", madeAgainst: -1, changes: first });
    await fleet.clock.advance(5_000);
    const startBytes = counting.bytes;
    const count = Math.round(CHANGES_PER_DAY * SAMPLE_FRACTION);
    let recordBytes = 0;
    const records: LogRecord[] = [];
    for (let index = 0; index < count; index += 1) {
        const { version } = node.view.published;
        const data = await append(fleet, { id: `change-${index}`, madeAgainst: version, changes: [makeChange(random, index)] });
        recordBytes += data.length;
        records.push({ offset: version + 1, data });
        await fleet.clock.advance(SECONDS_PER_DAY / CHANGES_PER_DAY * 1_000);
    }
    const snapshots = await fleet.clock.runUntil(fleet.log.read(SNAPSHOT_STREAM, 0));
    const snapshotBytes = snapshots.records.at(-1)?.data.length ?? 0;
    await fleet.stop();
    return {
        documentBytes: JSON.stringify(document).length,
        recordBytes: recordBytes / count,
        appendsPerDay: CHANGES_PER_DAY + snapshots.endOffset / SAMPLE_FRACTION,
        snapshotsPerDay: snapshots.endOffset / SAMPLE_FRACTION,
        snapshotBytes,
        nodeBytesPerSecond: (counting.bytes - startBytes) / (SECONDS_PER_DAY * SAMPLE_FRACTION),
        applyMs: measureApplyTime(fleet, document, records),
    };
}

/** Changes of one record. */
interface ChangeRecord {
    readonly id: string;
    readonly madeAgainst: number;
    readonly changes: readonly ItemChange[];
}

async function append(fleet: ConfigurationFleet, record: ChangeRecord): Promise<Uint8Array> {
    const data = encodeConfigurationRecord({ ...record, author: "operator", atMs: Math.floor(fleet.clock.now()) });
    await fleet.clock.runUntil(fleet.log.append(CONFIGURATION_STREAM, data));
    return data;
}

/** Times how long a node that has the first version takes to apply a record. */
function measureApplyTime({ clock }: ConfigurationFleet, document: ConfigurationDocument, records: readonly LogRecord[]): number {
    const ring = new EventRing("timed", new HybridClock(clock));
    const journal = new ConfigurationJournal({ clock, ring, view: new ConfigurationView(clock) });
    journal.installSnapshot({ configuration: { version: 0, document }, nextOffset: 1, applied: [], atMs: 0 });
    const startMs = performance.now();
    for (const record of records) {
        journal.applyPage({ fromOffset: record.offset, nextOffset: record.offset + 1, records: [record] });
    }
    if (journal.history.size !== records.length || journal.skippedCount > 0) {
        throw new Error(`Cannot time changes: ${journal.history.size} of ${records.length} were applied`);
    }
    return (performance.now() - startMs) / records.length;
}

/** Chooses a change: mostly keys of workspaces, sometimes an exception. */
function makeChange(random: RandomSource, index: number): ItemChange {
    const workspace = `workspace-${random.nextInt(WORKSPACES)}`;
    if (random.next() < 0.1) {
        const path = `operations/operation-${random.nextInt(2 * MODELS)}/promise/answerMs`;
        const item = { path, value: 20_000 + index, reason: "measured", author: "operator", madeAtMs: 0 };
        return { kind: ChangeKind.Set, list: ItemList.Exceptions, item };
    }
    return { kind: ChangeKind.Set, list: ItemList.Workspaces, item: { name: workspace, keyHash: makeKeyHash(index, 1) } };
}

function makeKeyHash(index: number, salt: number): string {
    return createHash("sha256").update(`${index} ${salt}`).digest("hex");
}
