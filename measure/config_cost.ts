/**
 * Cost per node of one day of configuration changes at the design scale.
 *
 * @module
 */

import { createHash } from "node:crypto";
import { ConfigurationStateMachine } from "../src/coordination/mod.js";
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

/** Configuration changes per day. */
export const CHANGES_PER_DAY = 4_000;

/** Seconds in a day. */
export const SECONDS_PER_DAY = 86_400;

/** Workspaces at the design scale. */
const WORKSPACES = 800;

/** Models at the design scale, each with two operations. */
const MODELS = 10;

/** Tiers at the design scale. */
const TIERS = 4;

/** Fraction of a day that is simulated; daily figures are extrapolated from it. */
const SAMPLE_FRACTION = 1 / 12;

/** Cost of one node. */
export interface CostFigures {
    readonly documentBytes: number;
    readonly recordBytes: number;
    readonly appendsPerDay: number;
    readonly snapshotsPerDay: number;
    readonly snapshotBytes: number;
    /** Mean bytes per second of records and snapshots that a node reads and writes, without protocol overhead. */
    readonly nodeBytesPerSecond: number;
    /** Mean time to validate and apply one change, in milliseconds. */
    readonly applyMs: number;
}

/** Counts the bytes of records that one node reads and appends. */
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
 * Creates a configuration of the design scale.
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
 * Runs a fraction of a day's changes on a fleet under a virtual clock and measures the cost of one node.
 *
 * @param seed Seed for the choice of changes.
 */
export async function measureCost(seed: number): Promise<CostFigures> {
    const fleet = new ConfigurationFleet({});
    const countingLog = new CountingLog(fleet.log);
    const node = fleet.addNode({ log: countingLog });
    fleet.addNode();
    const random = new SeededRandom(seed);
    const document = makeLargeDocument();
    const initialChanges = changesBetween(EMPTY_CONFIGURATION.document, document);
    await appendChange(fleet, { id: "first", madeAgainst: -1, changes: initialChanges });
    await fleet.clock.advance(5_000);
    const startBytes = countingLog.bytes;
    const count = Math.round(CHANGES_PER_DAY * SAMPLE_FRACTION);
    let recordBytes = 0;
    const records: LogRecord[] = [];
    for (let index = 0; index < count; index += 1) {
        const { version } = node.view.published;
        const data = await appendChange(fleet, {
            id: `change-${index}`,
            madeAgainst: version,
            changes: [makeChange(random, index)],
        });
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
        nodeBytesPerSecond: (countingLog.bytes - startBytes) / (SECONDS_PER_DAY * SAMPLE_FRACTION),
        applyMs: measureApplyTime(fleet, document, records),
    };
}

/** Changes of one configuration record. */
interface ChangeRecord {
    readonly id: string;
    readonly madeAgainst: number;
    readonly changes: readonly ItemChange[];
}

async function appendChange(fleet: ConfigurationFleet, record: ChangeRecord): Promise<Uint8Array> {
    const data = encodeConfigurationRecord({ ...record, author: "operator", atMs: Math.floor(fleet.clock.now()) });
    await fleet.clock.runUntil(fleet.log.append(CONFIGURATION_STREAM, data));
    return data;
}

/** Measures the mean time, in milliseconds, in which a node that has installed the initial version applies a record. */
function measureApplyTime({ clock }: ConfigurationFleet, document: ConfigurationDocument, records: readonly LogRecord[]): number {
    const ring = new EventRing("timed", new HybridClock(clock));
    const stateMachine = new ConfigurationStateMachine({ clock, ring, view: new ConfigurationView(clock) });
    stateMachine.installSnapshot({ configuration: { version: 0, document }, nextOffset: 1, applied: [], atMs: 0 });
    const startMs = performance.now();
    for (const record of records) {
        stateMachine.applyRange({ fromOffset: record.offset, nextOffset: record.offset + 1, records: [record] });
    }
    if (stateMachine.history.size !== records.length || stateMachine.skippedCount > 0) {
        throw new Error(`Cannot measure the apply time: ${stateMachine.history.size} of ${records.length} changes were applied`);
    }
    return (performance.now() - startMs) / records.length;
}

/** Draws a change: usually a new key for a workspace, otherwise an exception. */
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
