export type {
    CallerStatement,
    Dialect,
    HealthStatement,
    ServerInstruction,
    ServerStatement,
    StatedLoad,
} from "./Dialect.js";
