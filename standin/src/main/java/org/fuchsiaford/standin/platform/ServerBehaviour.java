package org.fuchsiaford.standin.platform;

/** How a backend server stand-in handles requests. */
public enum ServerBehaviour {
    /** Executes the request and responds. */
    ANSWER,
    /** Responds that it did not execute the request. */
    REJECT,
    /** Executes the request and responds with an error status. */
    ERROR,
    /** Executes the request and closes the connection without a response. */
    LOSE_ANSWER,
    /** Executes the request and closes the connection in the middle of the response. */
    BREAK_OFF,
    /** Executes the request and stops sending in the middle of the response. */
    STALL,
    /** Executes the request and responds with the ID of another request. */
    WRONG_REQUEST,
    /** Executes the request and never responds. */
    HANG
}
