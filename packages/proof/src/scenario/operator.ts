/** Calls of the operators' procedures as a small script makes them. */

const SERVICE_PATH = 'siskinplank.admin.v1.AdminService';
const CALL_LIMIT_MS = 20_000;

/** Answer of a procedure. */
export interface AdminResult {
  isOk: boolean;
  body: Record<string, unknown>;
}

/** A change at a version that the operator had read, and its answer. */
export interface OperatorCall {
  kind: string;
  name: string;
  entry: string;
  expectedVersion: number;
  spec: Record<string, unknown>;
  result: AdminResult;
}

/** Calls a procedure with JSON. */
export async function sendAdminCall(
  adminUrl: string,
  token: string,
  procedure: string,
  body: unknown,
): Promise<AdminResult> {
  try {
    const response = await fetch(`${adminUrl}/${SERVICE_PATH}/${procedure}`, {
      method: 'POST',
      headers: {
        authorization: `Bearer ${token}`,
        'content-type': 'application/json',
      },
      body: JSON.stringify(body),
      signal: AbortSignal.timeout(CALL_LIMIT_MS),
    });
    const parsed = (await response.json()) as Record<string, unknown>;
    return {isOk: response.ok, body: parsed};
  } catch (error) {
    return {isOk: false, body: {message: String(error)}};
  }
}

/** Makes the message of a resource, whose field is named after its kind. */
export function toResource(
  kind: string,
  name: string,
  spec: Record<string, unknown>,
): Record<string, unknown> {
  const field = kind[0].toLowerCase() + kind.slice(1);
  return {kind, name, [field]: spec};
}
