/**
 * State of one scenario.
 *
 * @module
 */

import { After, setDefaultTimeout, setWorldConstructor, World } from "@cucumber/cucumber";
import { readDeployment } from "../../standin/deployment.js";
import { InProcessFleet, type InProcessFleetSettings, type RecordedAnswer } from "../../standin/in_process_fleet.js";

/** Timeout of one step, in milliseconds. */
const STEP_TIMEOUT_MS = 120_000;

/** State that the steps of one scenario share. */
export class Scenario extends World {
    /** Answers of the scenario, in the order in which the calls were sent. */
    readonly answers: RecordedAnswer[] = [];
    /** Bodies of the calls, in the order in which they were sent. */
    readonly bodies: Buffer[] = [];
    private startedFleet: InProcessFleet | undefined;

    /** Fleet of the scenario. */
    get fleet(): InProcessFleet {
        if (this.startedFleet === undefined) {
            throw new Error("Cannot use the fleet: no step has started it");
        }
        return this.startedFleet;
    }

    /** Starts a fleet from a deployment under `examples/`. */
    async startFleet(example: string, settings: Omit<InProcessFleetSettings, "deployment"> = {}): Promise<void> {
        const deployment = await readDeployment(`examples/${example}.yaml`);
        this.startedFleet = new InProcessFleet({ ...settings, deployment });
        await this.startedFleet.start();
    }

    /** Last answer of the scenario. */
    get answer(): RecordedAnswer {
        const last = this.answers.at(-1);
        if (last === undefined) {
            throw new Error("Cannot use the answer: no call was sent");
        }
        return last;
    }

    /** Advances the clock until all calls of the scenario have ended. */
    async finishCalls(): Promise<void> {
        await this.fleet.clock.runUntil(Promise.all(this.answers.map(answer => answer.done)));
    }

    /** Stops the nodes of the fleet. */
    async stopFleet(): Promise<void> {
        if (this.startedFleet !== undefined) {
            await this.startedFleet.clock.runUntil(Promise.all(this.startedFleet.nodes.map(node => node.stop())));
        }
    }
}

setWorldConstructor(Scenario);
setDefaultTimeout(STEP_TIMEOUT_MS);

After(async function(this: Scenario) {
    await this.stopFleet();
});
