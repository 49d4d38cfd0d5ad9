/** Rejection of malformed statuses in the HTTP clients that use undici. */
import {isFinalStatus, isInterimStatus} from '@siskinplank/foundation';
import type {Dispatcher} from 'undici';

/** Code of the errors of undici for a status below 100 and for an upgrade. */
const ASSERTION_CODE = 'ERR_ASSERTION';

function describeError(error: Error): Error {
  const {code} = error as {code?: unknown};
  if (code !== ASSERTION_CODE) return error;
  return new Error('malformed response', {cause: error});
}

/**
 * Interceptor that fails a request whose response has a malformed status, and
 * closes its connection. undici gives such a response as an answer, or fails
 * with an assertion.
 */
export function rejectMalformedStatus(
  dispatch: Dispatcher.Dispatch,
): Dispatcher.Dispatch {
  return (options, handler) =>
    dispatch(options, {
      onRequestStart: (...values) => handler.onRequestStart?.(...values),
      onResponseStart: (controller, status, ...rest) => {
        if (isFinalStatus(status) || isInterimStatus(status)) {
          handler.onResponseStart?.(controller, status, ...rest);
          return;
        }
        controller.abort(new Error(`malformed status ${status}`));
      },
      onResponseData: (...values) => handler.onResponseData?.(...values),
      onResponseEnd: (...values) => handler.onResponseEnd?.(...values),
      onResponseError: (controller, error) =>
        handler.onResponseError?.(controller, describeError(error)),
    });
}
