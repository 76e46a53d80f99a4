import { WhenAbsent } from "../../state/document/index.js";
import type { MeshDocument } from "../../state/document/index.js";

/**
 * Returns the reasons why a version cannot be put in force on a daemon of `failureDomain`: services
 * that never announced a backend server, and referenced services and resources that the document lacks.
 */
export function findMissingDependencies(
    document: MeshDocument,
    failureDomain: string,
    hasService: (service: string) => boolean,
): readonly string[] {
    const reasons = Object.values(document.routes).flatMap(route => {
        const service = document.services[route.service];
        const missing = route.resources
            .filter(resource => document.resources[resource] === undefined)
            .map(resource => `resource ${resource} is missing`);
        if (service === undefined) {
            return [...missing, `service ${route.service} is missing`];
        }
        const isAbsent = service.whenAbsent === WhenAbsent.Wait && !hasService(route.service);
        return isAbsent ? [...missing, `service ${route.service} has announced no backend server`] : missing;
    });
    return [...new Set(reasons)].map(reason => `${failureDomain}: ${reason}`);
}
