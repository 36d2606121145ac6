/**
 * Command line program that runs experiments.
 *
 * @module
 */

import { Cli, Command, Option, UsageError } from "clipanion";
import { formatTable } from "../src/cli/mod.js";
import { type Experiment, type Figures, isMet, type Report } from "./experiment.js";
import { experiments } from "./experiments.js";

/** Runs one experiment and compares its figures with the targets. */
class MeasureCommand extends Command {
    static override paths = [Command.Default];
    static override usage = Command.Usage({
        description: "Runs an experiment; exits with status 1 when a target is missed.",
        examples: [["Measure the proxy", "npm run measure -- proxy --seed 7 --json"]],
    });
    name = Option.String({ name: "EXPERIMENT" });
    seed = Option.String("--seed", "1", { description: "Seed of the random number generators. Defaults to 1." });
    oldBundle = Option.String("--old", "dist", { description: "Folder with the bundle of an earlier build. Defaults to dist." });
    newBundle = Option.String("--new", "dist", { description: "Folder with the bundle to measure. Defaults to dist." });
    json = Option.Boolean("--json", false, { description: "Print JSON instead of tables." });

    override async execute(): Promise<number> {
        const experiment = this.findExperiment();
        const { oldBundle, newBundle } = this;
        const report = await experiment.run(Number(this.seed), { oldBundle, newBundle });
        this.context.stdout.write(this.json ? `${JSON.stringify(report)}\n` : formatReport(report));
        return report.targets.every(isMet) ? 0 : 1;
    }

    private findExperiment(): Experiment {
        const found = experiments.find(experiment => experiment.name === this.name);
        if (found === undefined) {
            const known = experiments.map(experiment => `  ${experiment.name}: ${experiment.summary}`).join("\n");
            throw new UsageError(`Unknown experiment "${this.name}". Available experiments:\n${known}`);
        }
        return found;
    }
}

function formatReport(report: Report): string {
    const targets = report.targets.map(target => [
        target.name,
        formatNumber(target.measured),
        `${target.comparison} ${formatNumber(target.bound)}`,
        isMet(target) ? "met" : "MISSED",
    ]);
    return [
        `Experiment ${report.scenario}, seed ${report.seed}\n\n`,
        `Baseline\n${formatFigures(report.baseline)}\n`,
        `Current\n${formatFigures(report.current)}\n`,
        formatTable(["TARGET", "MEASURED", "BOUND", ""], targets),
    ].join("");
}

function formatFigures(figures: Figures): string {
    let text = "";
    for (const [name, value] of Object.entries(figures)) {
        if (typeof value === "object") {
            const heading = Object.keys(value[0] ?? {});
            const rows = value.map(row => heading.map(column => formatCell(row[column])));
            text += `${name}\n${formatTable(heading, rows)}`;
            continue;
        }
        text += `${name}: ${formatCell(value)}\n`;
    }
    return text;
}

function formatCell(value: number | string): string {
    return typeof value === "number" ? formatNumber(value) : value;
}

function formatNumber(value: number): string {
    return Number.isInteger(value) ? String(value) : value.toPrecision(4);
}

process.exit(await Cli.from(MeasureCommand, { binaryName: "npm run measure --" }).run(process.argv.slice(2)));
