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

/** The daemons next in line stand still while a release replaces VMs. */
const LINE_FROZEN_IN_RELEASE: History = {
    daemonsPerDomain: 3,
    deadlineMs: 2000,
    domainsPerRegion: 3,
    faults: [
        {
            atMs: 1106,
            count: 6,
            first: 14,
            forMs: 5395,
            kind: FaultKind.Release,
            strength: 55,
            target: TargetKind.Daemons,
        },
        {
            atMs: 2466,
            count: 7,
            first: 14,
            forMs: 3486,
            kind: FaultKind.Freeze,
            strength: 12,
            target: TargetKind.Line,
        },
    ],
    firstChangeMs: 1752,
    isFirstStart: false,
    regions: 2,
    seed: 586328234,
    versionGapsMs: [735, 405, 157, 130, 159],
    weakShare: 20,
    weakness: 7,
};

/** The store is silent for the watchers, the links of the next in line are full, and whole domains are cut off later. */
const FULL_LINKS_AND_SILENT_WATCHERS: History = {
    daemonsPerDomain: 5,
    deadlineMs: 2000,
    domainsPerRegion: 3,
    faults: [
        {
            atMs: 2289,
            count: 4,
            first: 16,
            forMs: 4709,
            kind: FaultKind.CutFromDaemons,
            strength: 68,
            target: TargetKind.Domains,
        },
        {
            atMs: 3509,
            count: 6,
            first: 38,
            forMs: 4682,
            kind: FaultKind.Restore,
            strength: 80,
            target: TargetKind.Daemons,
        },
        {
            atMs: 3509,
            count: 4,
            first: 6,
            forMs: 5123,
            kind: FaultKind.Kill,
            strength: 74,
            target: TargetKind.Same,
        },
        {
            atMs: 2532,
            count: 5,
            first: 22,
            forMs: 1996,
            kind: FaultKind.LostCopies,
            strength: 56,
            target: TargetKind.Daemons,
        },
        {
            atMs: 2532,
            count: 6,
            first: 3,
            forMs: 5909,
            kind: FaultKind.StoreSilent,
            strength: 15,
            target: TargetKind.Same,
        },
        {
            atMs: 1444,
            count: 10,
            first: 22,
            forMs: 1427,
            kind: FaultKind.StoreSilent,
            strength: 69,
            target: TargetKind.Watchers,
        },
        {
            atMs: 1444,
            count: 9,
            first: 35,
            forMs: 1688,
            kind: FaultKind.FullLink,
            strength: 23,
            target: TargetKind.Line,
        },
    ],
    firstChangeMs: 1468,
    isFirstStart: false,
    regions: 1,
    seed: 1956559733,
    versionGapsMs: [1378, 120, 89],
    weakShare: 50,
    weakness: 11,
};

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
        history: FULL_LINKS_AND_SILENT_WATCHERS,
        mutants: ["the transit of a confirmation isn't counted"],
    },
    {
        history: LINE_FROZEN_IN_RELEASE,
        mutants: ["reports of watches count although confirmations are missing", NO_LEASE],
    },
    {
        history: LINE_FROZEN_IN_RELEASE,
        mutants: ["watches are trusted whatever was lost", NO_LEASE],
    },
    {
        history: FULL_LINKS_AND_SILENT_WATCHERS,
        mutants: ["takeovers begin twice as late", NO_LEASE],
    },
    {
        history: {
            daemonsPerDomain: 5,
            deadlineMs: 3000,
            domainsPerRegion: 3,
            faults: [
                {
                    atMs: 2275,
                    count: 9,
                    first: 8,
                    forMs: 3271,
                    kind: FaultKind.CutFromDaemons,
                    strength: 39,
                    target: TargetKind.Domains,
                },
                {
                    atMs: 2278,
                    count: 12,
                    first: 27,
                    forMs: 3494,
                    kind: FaultKind.LateCopies,
                    strength: 13,
                    target: TargetKind.Domains,
                },
                {
                    atMs: 2575,
                    count: 3,
                    first: 16,
                    forMs: 1125,
                    kind: FaultKind.Freeze,
                    strength: 100,
                    target: TargetKind.Sources,
                },
            ],
            firstChangeMs: 2288,
            isFirstStart: false,
            regions: 1,
            seed: 89204726,
            versionGapsMs: [84, 128, 500],
            weakShare: 50,
            weakness: 7,
        },
        mutants: ["takeovers are spread five times as long", NO_LEASE],
    },
];
