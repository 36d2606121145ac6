/**
 * Following of the configuration stream in the platform's log.
 *
 * @module
 */

import {
    checkDocument,
    CONFIGURATION_STREAM,
    type ConfigurationRecord,
    decodeConfigurationRecord,
    encodeConfigurationRecord,
    type LogRecord,
    type LogService,
} from "../protocol/mod.js";
import { type Clock, type ConfigurationView, type EventRing, Part } from "../state/mod.js";

/** Time that a read waits for a new record, in milliseconds. */
const READ_WAIT_MS = 10_000;

/** Time to wait after a failed read, in milliseconds. */
const READ_RETRY_DELAY_MS = 500;

/** Time to wait between looks at the view while a change lands, in milliseconds. */
const LANDING_POLL_MS = 20;

/** Longest time to wait for an appended change to be read back, in milliseconds. */
const LANDING_TIMEOUT_MS = 10_000;

/** Settings of a {@linkcode ConfigurationFollower}. */
export interface ConfigurationFollowerSettings {
    readonly clock: Clock;
    readonly ring: EventRing;
    readonly log: LogService;
    readonly view: ConfigurationView;
}

/** Change of the configuration that an operator asks for. */
export interface ConfigurationChange {
    /** Version that the change was made against. */
    readonly madeAgainst: number;
    readonly author: string;
    /** Parsed document, not yet checked. */
    readonly document: unknown;
}

/** Result of a change. */
export type ConfigurationChangeResult =
    | { readonly version: number; readonly problems?: undefined }
    | { readonly version?: undefined; readonly problems: readonly string[] };

/** Reads the configuration stream and brings each valid record into force, in the order of the log. */
export class ConfigurationFollower {
    private nextOffset = 0;
    private changeCount = 0;

    /** @param settings See {@linkcode ConfigurationFollowerSettings}. */
    constructor(private readonly settings: ConfigurationFollowerSettings) {}

    /** Follows the stream until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        const { log, clock } = this.settings;
        while (!signal.aborted) {
            try {
                const page = await log.read(CONFIGURATION_STREAM, this.nextOffset, { waitMs: READ_WAIT_MS });
                for (const record of page.records) {
                    this.apply(record);
                }
            }
            catch (error) {
                this.record("readFailed", `${(error as Error).message}.`);
                await clock.sleep(READ_RETRY_DELAY_MS, signal);
            }
        }
    }

    /**
     * Appends a change and waits until it has landed.
     *
     * @throws {PlatformError} When the log did not answer.
     */
    async change(change: ConfigurationChange): Promise<ConfigurationChangeResult> {
        const checked = checkDocument(change.document);
        if (checked.problems !== undefined) {
            return { problems: checked.problems };
        }
        this.changeCount += 1;
        const record: ConfigurationRecord = {
            id: `${this.settings.ring.node}-${Math.floor(this.settings.clock.now())}-${this.changeCount}`,
            madeAgainst: change.madeAgainst,
            author: change.author,
            document: checked.document,
        };
        const offset = await this.settings.log.append(CONFIGURATION_STREAM, encodeConfigurationRecord(record));
        return this.awaitLanding(offset, change.madeAgainst);
    }

    private async awaitLanding(offset: number, madeAgainst: number): Promise<ConfigurationChangeResult> {
        const { clock, view } = this.settings;
        const giveUpAtMs = clock.now() + LANDING_TIMEOUT_MS;
        while (this.nextOffset <= offset) {
            if (clock.now() > giveUpAtMs) {
                return {
                    problems: [`The change stands in the log at ${offset}, but this node cannot read the log. Look again later.`],
                };
            }
            await clock.sleep(LANDING_POLL_MS);
        }
        if (view.current.version === offset) {
            return { version: offset };
        }
        const problem =
            `The change was made against version ${madeAgainst}, but another came first. Read version ${view.current.version} and change that.`;
        return { problems: [problem] };
    }

    private apply(logRecord: LogRecord): void {
        this.nextOffset = logRecord.offset + 1;
        const record = decodeConfigurationRecord(logRecord.data);
        if (record === undefined) {
            this.record("skipped", `Record ${logRecord.offset} is malformed or of a later format and was skipped.`);
            return;
        }
        const { view } = this.settings;
        if (record.madeAgainst !== view.current.version) {
            this.record("conflict", `Record ${logRecord.offset} by ${record.author} was made against ${record.madeAgainst}.`);
            return;
        }
        view.advance({ version: logRecord.offset, document: record.document });
        this.record("inForce", `Version ${logRecord.offset} by ${record.author} is in force.`);
    }

    private record(kind: string, text: string): void {
        this.settings.ring.record({ part: Part.Configuration, kind, text });
    }
}
