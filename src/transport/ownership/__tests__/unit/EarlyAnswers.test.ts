/** Guards against a request that a server takes for the rest of a body that it has answered without reading. */
import { expect, it } from "vitest";
import { RequestKind } from "../../../../state/traffic/index.js";
import { createAdmissionController, createOwnedRequest, recordRequest } from "../fixtures/Admission.js";
import { formatAnswer, startRawServer } from "../fixtures/RawServer.js";

it("the request after an answer that came before its body was read goes to another connection", async () => {
    const server = await startRawServer((socket, id) => {
        if (id !== "") {
            socket.write(formatAnswer(id, "early"));
        }
        if (id === "large") {
            socket.pause();
        }
    });
    const admission = createAdmissionController(server.port);
    const body = Buffer.alloc(30_000_000, "b");
    const first = recordRequest();
    const handle = admission.submit(
        createOwnedRequest("large", { body, kind: RequestKind.Upload, method: "POST" }),
        first.listener,
    );
    handle.proceed();
    expect(await first.end).toBe("answer 200 early");
    const second = recordRequest();
    admission.submit(createOwnedRequest("next"), second.listener);
    expect(await second.end).toBe("answer 200 early");
    expect(server.connections).toHaveLength(2);
    expect(server.requests.some(text => text.includes("bGET") || text.startsWith("b"))).toBe(false);
    admission.closeAll();
    await server.close();
});

it("a body that comes with the acceptance of its offer is sent whole", async () => {
    const server = await startRawServer((socket, id) => socket.write(formatAnswer(id, "taken")));
    const admission = createAdmissionController(server.port);
    const upload = recordRequest();
    const handle = admission.submit(
        createOwnedRequest("r", { kind: RequestKind.Upload, laterBodyBytes: 3, method: "POST" }),
        upload.listener,
    );
    expect(upload.events).toEqual(["offer"]);
    handle.renewOffer?.();
    handle.proceed(Buffer.from("abc"));
    expect(await upload.end).toBe("answer 200 taken");
    expect(server.requests[0]).toMatch(/content-length: 3\r\n\r\nabc$/);
    admission.closeAll();
    await server.close();
});
