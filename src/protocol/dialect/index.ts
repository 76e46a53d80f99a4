export type {
    CallerHeaders,
    Dialect,
    HealthAnswer,
    ServerAnswerHeaders,
    ServerLoad,
    ServerRequestContext,
} from "./Dialect.js";
