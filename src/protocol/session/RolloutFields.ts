/** Fields of messages that are sent only where roll-outs are in use. */
import { DecisionKind, MAXIMUM_ROUTES, OwnerPhase, RolloutState } from "../../coordination/rollouts/index.js";
import type { RolloutDecision, RolloutOrder } from "../../coordination/rollouts/index.js";
import {
    booleanCodec,
    createChoiceCodec,
    createIntegerCodec,
    createListCodec,
    createOptionalCodec,
    createRecordCodec,
    createTextCodec,
    numberCodec,
} from "../peer/index.js";

/** An order as messages carry it: its age instead of a time of the sender's clock. */
export type SentOrder = Omit<RolloutOrder, "learnedAt"> & { readonly ageMs: number; };
export type SentDecision = Omit<RolloutDecision, "at"> & { readonly ageMs: number; };

/** Far above the servers of one service. */
const REPORTS_LIMIT = 65_536;
const ORDERS_LIMIT = 4_096;

const name = createTextCodec(256);
const text = createTextCodec(1_024);
const integer = createIntegerCodec();

export const rolloutLoadCodec = createRecordCodec({
    orderRevision: integer,
    phase: createChoiceCodec(Object.values(OwnerPhase)),
    slackLeft: integer,
});

export const baselineCodec = createRecordCodec({
    workMs: numberCodec,
    failureShare: numberCodec,
    usesSlack: booleanCodec,
});

/** Fields that name the order which a record is about. */
const orderFields = { service: name, targetVersion: name, orderRevision: integer };

export const rolloutRecordFields = {
    orders: createListCodec(
        createRecordCodec({
            service: name,
            targetVersion: name,
            finishByMs: numberCodec,
            base: integer,
            revision: integer,
            state: createOptionalCodec(createChoiceCodec(Object.values(RolloutState))),
            ageMs: numberCodec,
        }),
        ORDERS_LIMIT,
    ),
    decisions: createListCodec(
        createRecordCodec({
            ...orderFields,
            kind: createChoiceCodec(Object.values(DecisionKind)),
            by: name,
            reason: text,
            ageMs: numberCodec,
        }),
        ORDERS_LIMIT,
    ),
    reports: createListCodec(
        createRecordCodec({
            ...orderFields,
            ownerId: name,
            sequence: integer,
            softwareVersion: createOptionalCodec(name),
            phase: createChoiceCodec(Object.values(OwnerPhase)),
            isDrained: booleanCodec,
            slackUsed: integer,
            sums: createListCodec(
                createRecordCodec({
                    route: text,
                    requests: integer,
                    bad: integer,
                    ratio: numberCodec,
                    alarm: numberCodec,
                }),
                MAXIMUM_ROUTES + 1,
            ),
        }),
        REPORTS_LIMIT,
    ),
    versions: createListCodec(createRecordCodec({ service: name, softwareVersion: name }), ORDERS_LIMIT),
} as const;
