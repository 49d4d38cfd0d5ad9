/** Base of the in-memory stores that support only reads and writes. */
import {PlatformStore} from '@siskinplank/platform-client';

/** A store whose other calls reject, so that a test that needs them fails. */
export abstract class SingleObjectStore extends PlatformStore {
  override listObjects(): Promise<never> {
    return rejectCall('listObjects');
  }

  override deleteObject(): Promise<never> {
    return rejectCall('deleteObject');
  }

  override watchObjects(): Promise<never> {
    return rejectCall('watchObjects');
  }

  override listHosts(): Promise<never> {
    return rejectCall('listHosts');
  }
}

function rejectCall(name: string): Promise<never> {
  return Promise.reject(
    new Error(`${name} is not supported by this test store`),
  );
}
