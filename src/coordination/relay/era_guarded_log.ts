/**
 * Tracking of the eras of the platform's log.
 *
 * @module
 */

import {
    KeyedLog,
    type KeyedPage,
    type KeyedReadSettings,
    type NewestReadSettings,
    OutdatedEraError,
} from "../../protocol/relay/mod.js";

/** Change of the log's era. */
export interface EraChange {
    readonly before: number;
    readonly after: number;
}

/** Drops answers of earlier eras than one already seen, and notifies an observer before it returns the first answer of a new era. */
export class EraGuardedLog extends KeyedLog {
    private newestEra: number | undefined;

    /**
     * @param log Log whose answers are checked.
     * @param onNewEra Called when the log has been restored from an older copy.
     */
    constructor(private readonly log: KeyedLog, private readonly onNewEra: (change: EraChange) => void) {
        super();
    }

    override async readNewest(topic: string, settings?: NewestReadSettings): Promise<KeyedPage> {
        const page = await this.log.readNewest(topic, settings);
        this.checkEra(`read newest of topic ${topic}`, page.era);
        return page;
    }

    override async read(topic: string, fromOffset: number, settings?: KeyedReadSettings): Promise<KeyedPage> {
        const page = await this.log.read(topic, fromOffset, settings);
        this.checkEra(`read topic ${topic}`, page.era);
        return page;
    }

    override async append(topic: string, key: string, value: Uint8Array, endOffset?: number): Promise<number> {
        const era = await this.log.append(topic, key, value, endOffset);
        this.checkEra(`append to topic ${topic}`, era);
        return era;
    }

    private checkEra(step: string, era: number): void {
        const before = this.newestEra ?? era;
        if (era < before) {
            throw new OutdatedEraError(step, era, before);
        }
        this.newestEra = era;
        if (era > before) {
            this.onNewEra({ before, after: era });
        }
    }
}
