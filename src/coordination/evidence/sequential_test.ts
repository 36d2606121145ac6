/**
 * Likelihood ratio of two hypotheses on how often the candidate's attempts are bad.
 *
 * Calls are assigned to the versions at random. Given the total number of bad attempts of a stratum, the number of bad ones on
 * the candidate has Fisher's noncentral hypergeometric distribution, whatever the common rate is. See Fog, "Sampling
 * Methods for Wallenius' and Fisher's Noncentral Hypergeometric Distributions" (2008), section 2.
 *
 * @module
 */

/** 2x2 contingency table of the good and bad attempts of both versions in one stratum. */
export interface ContingencyTable {
    readonly candidateCount: number;
    readonly candidateBad: number;
    readonly controlCount: number;
    readonly controlBad: number;
}

/** Odds ratios of the two hypotheses that are compared. */
export interface OddsPair {
    /** Largest odds ratio of a good candidate. */
    readonly tolerated: number;
    /** Odds ratio of a bad candidate. */
    readonly bad: number;
}

/**
 * Returns the log-likelihood ratio of `odds.bad` against `odds.tolerated`, given the total number of bad attempts.
 *
 * Its exponential has an expectation of at most 1 for each candidate whose odds ratio is at most the tolerated one.
 *
 * @param table Attempts of the stratum.
 * @param odds Odds ratios of the hypotheses.
 * @returns Natural logarithm of the likelihood ratio; 0 if the stratum holds no information.
 */
export function logLikelihoodRatio(table: ContingencyTable, odds: OddsPair): number {
    const { candidateCount, candidateBad, controlCount, controlBad } = table;
    const bad = candidateBad + controlBad;
    if (candidateCount === 0 || controlCount === 0 || bad === 0 || bad === candidateCount + controlCount) {
        return 0;
    }
    const least = Math.max(0, bad - controlCount);
    const most = Math.min(candidateCount, bad);
    const logBad = Math.log(odds.bad);
    const logTolerated = Math.log(odds.tolerated);
    const sums = new ScaledSums(logBad, logTolerated);
    let logWeight = 0;
    for (let count = least; count <= most; count++) {
        sums.add(count - least, logWeight);
        logWeight += Math.log((candidateCount - count) * (bad - count)) -
            Math.log((count + 1) * (controlCount - bad + count + 1));
    }
    return (candidateBad - least) * (logBad - logTolerated) - sums.logRatio;
}

/** Sums weights under two odds ratios in the logarithmic domain, scaled by the largest weight to avoid overflow. */
class ScaledSums {
    private badScale = -Infinity;
    private badSum = 0;
    private toleratedScale = -Infinity;
    private toleratedSum = 0;

    constructor(private readonly logBad: number, private readonly logTolerated: number) {}

    get logRatio(): number {
        return this.badScale + Math.log(this.badSum) - this.toleratedScale - Math.log(this.toleratedSum);
    }

    add(steps: number, logWeight: number): void {
        const bad = logWeight + steps * this.logBad;
        if (bad > this.badScale) {
            this.badSum = this.badSum * Math.exp(this.badScale - bad) + 1;
            this.badScale = bad;
        }
        else {
            this.badSum += Math.exp(bad - this.badScale);
        }
        const tolerated = logWeight + steps * this.logTolerated;
        if (tolerated > this.toleratedScale) {
            this.toleratedSum = this.toleratedSum * Math.exp(this.toleratedScale - tolerated) + 1;
            this.toleratedScale = tolerated;
        }
        else {
            this.toleratedSum += Math.exp(tolerated - this.toleratedScale);
        }
    }
}
