/**
 * Renders a timeline as a self-contained HTML page.
 *
 * @module
 */

import type { wire } from "../protocol/mod.js";
import type { MergedTimeline } from "./merged_timeline.js";

/** Width of the lanes, in pixels. */
const LANE_WIDTH_PX = 1_400;

/** Width of the column with the lane labels, in pixels. */
const LABEL_WIDTH_PX = 160;

/** Height of a lane, in pixels. */
const LANE_HEIGHT_PX = 36;

/** Height of the time axis above the lanes, in pixels. */
const AXIS_HEIGHT_PX = 30;

/** Number of intervals between the ticks of the time axis. */
const AXIS_INTERVALS = 8;

/** Radius of an event's dot, in pixels. */
const DOT_RADIUS_PX = 5;

/** Difference between the hues of consecutive parts, in degrees; it keeps a dozen parts distinguishable. */
const HUE_STEP_DEGREES = 137;

/**
 * Renders a timeline with a lane for each node and a table of the events.
 *
 * @param timeline Sorted events, and the nodes that did not answer.
 * @returns HTML document.
 */
export function renderTimelinePage(timeline: MergedTimeline): string {
    const { events, unreachable } = timeline;
    const nodes = [...new Set([...events.map(event => event.node), ...unreachable.map(each => each.node)])].sort();
    const parts = [...new Set(events.map(event => event.part))].sort();
    const height = AXIS_HEIGHT_PX + nodes.length * LANE_HEIGHT_PX;
    const toX = makeTimeScale(events);
    const missing = new Set(unreachable.map(each => each.node));
    const lanes = nodes.map((node, index) => drawLane(node, laneY(index), missing.has(node)));
    const dots = events.map(event => drawDot(event, { x: toX(event.wallMs), y: laneY(nodes.indexOf(event.node)), parts }));
    const legend = parts.map(part => `<span style="color:${partColor(part, parts)}">&#9679; ${escapeHtml(part)}</span>`);
    const unreachableItems = unreachable.map(each =>
        `<li>${escapeHtml(`No answer from ${each.node} (${each.address}): ${each.why}`)}</li>`
    );
    return [
        '<!doctype html><html lang="en"><head><meta charset="utf-8"><title>Timeline</title>',
        "<style>body{font:13px sans-serif;margin:16px}span{margin-right:12px}td{padding:1px 8px;vertical-align:top}</style></head><body>",
        `<h1>Timeline of ${nodes.length} nodes</h1><p>${legend.join("")}</p><ul>${unreachableItems.join("")}</ul>`,
        `<svg width="${LABEL_WIDTH_PX + LANE_WIDTH_PX + 20}" height="${height}">${drawAxis(events, height)}`,
        ...lanes,
        ...dots,
        `</svg><table>${events.map(drawRow).join("")}</table></body></html>\n`,
    ].join("\n");
}

function laneY(index: number): number {
    return AXIS_HEIGHT_PX + (index + 0.5) * LANE_HEIGHT_PX;
}

/** Returns a function that maps times to horizontal positions, in pixels. */
function makeTimeScale(events: readonly wire.EventRecord[]): (wallMs: number) => number {
    const firstMs = events[0]?.wallMs ?? 0;
    const spanMs = Math.max(1, (events.at(-1)?.wallMs ?? 0) - firstMs);
    return wallMs => LABEL_WIDTH_PX + (wallMs - firstMs) / spanMs * LANE_WIDTH_PX;
}

function drawAxis(events: readonly wire.EventRecord[], height: number): string {
    const firstMs = events[0]?.wallMs ?? 0;
    const spanMs = Math.max(1, (events.at(-1)?.wallMs ?? 0) - firstMs);
    const ticks = Array.from({ length: AXIS_INTERVALS + 1 }, (value, index) => {
        const x = LABEL_WIDTH_PX + index / AXIS_INTERVALS * LANE_WIDTH_PX;
        const time = new Date(firstMs + index / AXIS_INTERVALS * spanMs).toISOString().slice(11, 23);
        return `<line x1="${x}" x2="${x}" y1="20" y2="${height}" stroke="#ddd"/><text x="${
            x - 30
        }" y="14" font-size="10">${time}</text>`;
    });
    return ticks.join("");
}

function drawLane(node: string, y: number, missing: boolean): string {
    const name = escapeHtml(missing ? `${node} (no answer)` : node);
    const line = `<line x1="${LABEL_WIDTH_PX}" x2="${LABEL_WIDTH_PX + LANE_WIDTH_PX}" y1="${y}" y2="${y}" stroke="#bbb"/>`;
    return `<text x="0" y="${y + 4}" fill="${missing ? "#b00" : "#000"}">${name}</text>${line}`;
}

/** Position of a dot, and the parts that determine its color. */
interface DotPlacement {
    readonly x: number;
    readonly y: number;
    readonly parts: readonly string[];
}

function drawDot(event: wire.EventRecord, { x, y, parts }: DotPlacement): string {
    const title = escapeHtml(`${new Date(event.wallMs).toISOString()} ${event.part} ${event.kind}: ${event.text}`);
    const circleAttributes = `cx="${x.toFixed(1)}" cy="${y}" r="${DOT_RADIUS_PX}"`;
    return `<circle ${circleAttributes} fill="${
        partColor(event.part, parts)
    }" fill-opacity="0.7"><title>${title}</title></circle>`;
}

function drawRow(event: wire.EventRecord): string {
    const cells = [new Date(event.wallMs).toISOString(), event.node, event.part, event.kind, event.requestId, event.text];
    return `<tr>${cells.map(cell => `<td>${escapeHtml(cell)}</td>`).join("")}</tr>`;
}

function partColor(part: string, parts: readonly string[]): string {
    return `hsl(${parts.indexOf(part) * HUE_STEP_DEGREES % 360},65%,42%)`;
}

function escapeHtml(text: string): string {
    return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;").replaceAll(">", "&gt;").replaceAll('"', "&quot;");
}
