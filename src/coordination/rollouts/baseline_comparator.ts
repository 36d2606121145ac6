/**
 * Comparison of a version that has nearly all traffic with what the old version did before.
 *
 * Without traffic on the old version no blame can be given, since the whole platform may have become slow. A difference is
 * therefore only a suspicion, on which some traffic goes back to the old version until the sequential test can tell.
 *
 * @module
 */

import { type EvidenceBlock, LOAD_BAND_COUNT, type StratumEvidence } from "./evidence_slice.js";
import { BUCKET_COUNT, countAbove, quantileBucket } from "./latency_histogram.js";

/** Blocks that are compared with the baseline. */
const COMPARED_BLOCKS = 2;

/** Fewest latencies of the old version for a baseline. */
const MIN_BASELINE_SAMPLES = 40;

/** Share of the baseline above which a latency counts as slow. */
const SLOW_QUANTILE = 0.9;

/** Probability of a slow attempt that raises no suspicion, and one of a bad version. */
const TOLERATED_SLOW_PROBABILITY = 0.2;
const BAD_SLOW_PROBABILITY = 0.6;

/** Least probability of a failed attempt that raises no suspicion, and that of a bad version as a factor of the tolerated one. */
const MIN_TOLERATED_FAILURE_PROBABILITY = 0.005;
const BAD_FAILURE_FACTOR = 4;

/** Buckets by which the new version may be slower than the baseline. */
const TOLERATED_SLOWDOWN_BUCKETS = 2;

/** Log-likelihood ratio from which there is a suspicion. */
const SUSPICION_THRESHOLD = Math.log(1_000);

/** Baseline of one operation on one engine class. */
interface Baseline {
    attempts: number;
    failed: number;
    readonly firstToken: readonly BaselineLatencies[];
    readonly gap: readonly BaselineLatencies[];
}

/** Latencies of the old version in one load band. */
class BaselineLatencies {
    total = 0;
    /** Bucket above which a latency counts as slow. */
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

/** Remembers what the old version did and compares the new one with it. */
export class BaselineComparator {
    private readonly baselines = new Map<string, Baseline>();

    /** Adds the old version's attempts of a block that takes no more evidence. */
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
     * Tells whether the new version is worse than the old one was.
     *
     * @param recent Blocks, the newest first.
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
