/**
 * Histories on which a rule is broken by a mutant and not by the product. Unlike the drawn ones they stay the same when
 * the search changes what it draws.
 */
import { FaultKind, TargetKind } from "./History.js";
import type { History } from "./History.js";
import { NO_LEASE } from "./Mutants.js";

export interface FoundHistory {
    /** Names of the mutants that together break a rule. */
    readonly mutants: readonly string[];
    readonly history: History;
}

export const FOUND_HISTORIES: readonly FoundHistory[] = [
    {
        history: {
            daemonsPerDomain: 7,
            deadlineMs: 2000,
            domainsPerRegion: 2,
            faults: [
                {
                    atMs: 2908,
                    count: 6,
                    first: 3,
                    forMs: 5239,
                    kind: FaultKind.Slow,
                    strength: 94,
                    target: TargetKind.Line,
                },
                {
                    atMs: 2933,
                    count: 2,
                    first: 0,
                    forMs: 5623,
                    kind: FaultKind.StoreSilent,
                    strength: 6,
                    target: TargetKind.Watchers,
                },
            ],
            firstChangeMs: 2800,
            isFirstStart: false,
            regions: 1,
            seed: 349337234,
            versionGapsMs: [56, 78, 91],
            weakShare: 100,
            weakness: 7,
        },
        mutants: ["the transit of a report on a watch isn't counted", NO_LEASE],
    },
    {
        history: {
            daemonsPerDomain: 7,
            deadlineMs: 2000,
            domainsPerRegion: 2,
            faults: [
                {
                    atMs: 2853,
                    count: 7,
                    first: 1,
                    forMs: 5239,
                    kind: FaultKind.Slow,
                    strength: 92,
                    target: TargetKind.Line,
                },
                {
                    atMs: 2855,
                    count: 3,
                    first: 0,
                    forMs: 5623,
                    kind: FaultKind.WatchesHang,
                    strength: 6,
                    target: TargetKind.Watchers,
                },
            ],
            firstChangeMs: 2800,
            isFirstStart: false,
            regions: 1,
            seed: 581541005,
            versionGapsMs: [56, 78, 91],
            weakShare: 100,
            weakness: 4,
        },
        mutants: ["the transit of a report on a watch isn't counted", NO_LEASE],
    },
    {
        history: {
            daemonsPerDomain: 7,
            deadlineMs: 3000,
            domainsPerRegion: 2,
            faults: [
                {
                    atMs: 2928,
                    count: 6,
                    first: 0,
                    forMs: 5239,
                    kind: FaultKind.Slow,
                    strength: 64,
                    target: TargetKind.Line,
                },
                {
                    atMs: 2933,
                    count: 2,
                    first: 0,
                    forMs: 5623,
                    kind: FaultKind.WatchesHang,
                    strength: 6,
                    target: TargetKind.Line,
                },
            ],
            firstChangeMs: 2800,
            isFirstStart: false,
            regions: 1,
            seed: 275532123,
            versionGapsMs: [56, 78, 91],
            weakShare: 100,
            weakness: 8,
        },
        mutants: ["the transit of a confirmation isn't counted", NO_LEASE],
    },
];
