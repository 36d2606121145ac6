/**
 * Compares a version that receives nearly all traffic with the earlier results of the old version.
 *
 * Without concurrent traffic on the old version, a slow version cannot be told from a slow platform. A regression against the
 * baseline is therefore only a suspicion: some traffic returns to the old version, so that the sequential test can decide.
 *
 * @module
 */

import {
    BUCKET_COUNT,
    countAbove,
    type EvidenceBlock,
    LOAD_BAND_COUNT,
    quantileBucket,
    type StratumEvidence,
} from "../evidence/mod.js";

/** Number of most recent blocks that are compared with the baseline. */
const COMPARED_BLOCKS = 2;

/** Minimum number of attempts on the old version, or of latencies in a load band, for a baseline. */
const MIN_BASELINE_SAMPLES = 40;

/** Quantile of the baseline above which a latency counts as slow. */
const SLOW_QUANTILE = 0.9;

/** Probabilities of a slow attempt that are compared: the largest tolerated one, and that of a bad version. */
const TOLERATED_SLOW_PROBABILITY = 0.2;
const BAD_SLOW_PROBABILITY = 0.6;

/** Minimum tolerated failure probability, and the factor from the tolerated one to that of a bad version. */
const MIN_TOLERATED_FAILURE_PROBABILITY = 0.005;
const BAD_FAILURE_FACTOR = 4;

/** Tolerated slowdown against the baseline, in histogram buckets. */
const TOLERATED_SLOWDOWN_BUCKETS = 2;

/** Log-likelihood ratio from which a regression is suspected. */
const SUSPICION_THRESHOLD = Math.log(1_000);

/** Results of the old version on one operation and one engine class. */
interface Baseline {
    attempts: number;
    failed: number;
    readonly firstToken: readonly BaselineLatencies[];
    readonly gap: readonly BaselineLatencies[];
}

/** Latency histogram of the old version in one load band. */
class BaselineLatencies {
    total = 0;
    /** Bucket above which a latency counts as slow: that of the {@linkcode SLOW_QUANTILE}. */
    slowBucket = BUCKET_COUNT - 1;
    private readonly counts = new Uint32Array(BUCKET_COUNT);

    add(counts: Uint32Array): void {
        for (let bucket = 0; bucket < BUCKET_COUNT; bucket++) {
            this.counts[bucket] += counts[bucket];
            this.total += counts[bucket];
        }
        this.slowBucket = quantileBucket(this.counts, this.total, SLOW_QUANTILE);
    }
}

/** Accumulates the results of the old version and compares the new version with them. */
export class BaselineComparator {
    private readonly baselines = new Map<string, Baseline>();

    /** Adds the old version's attempts of a closed block to the baseline. */
    addBlock(block: EvidenceBlock): void {
        for (const stratum of block.allStrata) {
            const baseline = this.baseline(stratum);
            baseline.attempts += stratum.control.count;
            baseline.failed += stratum.control.failed;
            for (let band = 0; band < LOAD_BAND_COUNT; band++) {
                baseline.firstToken[band].add(stratum.control.firstToken[band]);
                baseline.gap[band].add(stratum.control.gap[band]);
            }
        }
    }

    /**
     * Returns whether the new version is probably worse than the old one was.
     *
     * @param recent Open blocks, newest first.
     */
    suspectsRegression(recent: readonly EvidenceBlock[]): boolean {
        const ratios = new Map<string, number>();
        for (const block of recent.slice(0, COMPARED_BLOCKS)) {
            for (const stratum of block.allStrata) {
                const [failures, slowness] = this.compare(stratum);
                for (const view of [stratum.operation, ` ${stratum.engineClass}`]) {
                    addRatio(ratios, `${view} failures`, failures);
                    addRatio(ratios, `${view} slowness`, slowness);
                }
            }
        }
        return [...ratios.values()].some(ratio => ratio >= SUSPICION_THRESHOLD);
    }

    private compare(stratum: StratumEvidence): readonly [failures: number, slowness: number] {
        const baseline = this.baseline(stratum);
        const { candidate } = stratum;
        if (baseline.attempts < MIN_BASELINE_SAMPLES) {
            return [0, 0];
        }
        const tolerated = Math.max(MIN_TOLERATED_FAILURE_PROBABILITY, 2 * baseline.failed / baseline.attempts);
        const bad = Math.min(1, BAD_FAILURE_FACTOR * tolerated);
        const failures = bad === 1 ? 0 : binomialLogLikelihoodRatio(candidate.failed, candidate.count, tolerated, bad);
        let slowness = 0;
        for (let band = 0; band < LOAD_BAND_COUNT; band++) {
            slowness += compareLatencies(candidate.firstToken[band], baseline.firstToken[band]);
            slowness += compareLatencies(candidate.gap[band], baseline.gap[band]);
        }
        return [failures, slowness];
    }

    private baseline({ operation, engineClass }: StratumEvidence): Baseline {
        const name = `${operation} ${engineClass}`;
        let baseline = this.baselines.get(name);
        if (baseline === undefined) {
            baseline = { attempts: 0, failed: 0, firstToken: makeBaselineLatencies(), gap: makeBaselineLatencies() };
            this.baselines.set(name, baseline);
        }
        return baseline;
    }
}

function compareLatencies(candidate: Uint32Array, baseline: BaselineLatencies): number {
    if (baseline.total < MIN_BASELINE_SAMPLES) {
        return 0;
    }
    const attempts = countAbove(candidate, -1);
    return attempts === 0 ?
        0 :
        binomialLogLikelihoodRatio(
            countAbove(candidate, baseline.slowBucket + TOLERATED_SLOWDOWN_BUCKETS),
            attempts,
            TOLERATED_SLOW_PROBABILITY,
            BAD_SLOW_PROBABILITY,
        );
}

function binomialLogLikelihoodRatio(bad: number, attempts: number, tolerated: number, alternative: number): number {
    return bad * Math.log(alternative / tolerated) + (attempts - bad) * Math.log((1 - alternative) / (1 - tolerated));
}

function addRatio(ratios: Map<string, number>, name: string, ratio: number): void {
    ratios.set(name, (ratios.get(name) ?? 0) + ratio);
}

function makeBaselineLatencies(): readonly BaselineLatencies[] {
    return Array.from({ length: LOAD_BAND_COUNT }, () => new BaselineLatencies());
}
